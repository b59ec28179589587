/** The leader's side of replication: proposals, beats, commitment, and the replacement of members. */
import { assertInvariant } from '../core/invariant.js'
import { sendPeer, type CoreEffect, type Moment } from '../core/message.js'
import { learnTerm, readLease, loseLeader } from './election.js'
import { appendEntries, findEntry, findTerm, listFrom, readLast, readQuorum, type ControlCommand, type Entry, type LogCommand, type Members } from './log.js'
import { applyCommitted } from './applying.js'
import type { StateMachine } from './machine.js'
import { continueWith, ELECTION_MIN_MS, keep, LEADER_BEAT_MS, listOthers, nameReplica, storeRecords, type Append, type Appended, type Install, type Installed, type Leading, type Outgoing, type Progress, type ReplicaState, type ReplicaStep, type Waiting } from './replica.js'

/** Entries that may be on their way to one follower. */
const ENTRIES_UNDERWAY = 256
/** How long a silent replica that counts in no quorum is remembered. */
const LEARNER_SILENT_MS = 5_000
/** How long a member is silent before a spare host takes its place: longer than a restart takes, shorter than a repair may. */
const MEMBER_LOST_MS = 1_500

/** Begins a term as its leader: with an entry of its own, since only those commit. */
export function startLeading<S, C extends LogCommand, O> (state: ReplicaState<S, C>, moment: Moment): ReplicaStep<S, C, O> {
  const last = readLast(state.log)
  const progress = new Map<string, Progress>()
  for (const [host, incarnation] of [[state.self, state.incarnation] as const, ...listOthers(state)]) {
    const vote = state.votes.get(host)
    const contactAtMs = vote?.incarnation === incarnation ? vote.sentAtMs : -Infinity
    progress.set(nameReplica(host, incarnation), { host, incarnation, matched: 0, next: last.index + 1, contactAtMs })
  }
  const leading: Leading = { progress, began: last.index + 1, established: false, proposals: new Map(), ledAtMs: moment.monotonicMs, beatAtMs: moment.monotonicMs, beatCommitted: state.committed }
  const led: ReplicaState<S, C> = { ...state, role: 'leader', leader: state.self, leading, votes: new Map() }
  return appendOwn(led, { kind: 'agreement/lead', host: state.self }, undefined, moment)
}

/** Puts a command into the log; on a host that doesn't lead it is dropped. */
export function appendOwn<S, C extends LogCommand, O> (state: ReplicaState<S, C>, command: C | ControlCommand, proposal: string | undefined, moment: Moment): ReplicaStep<S, C, O> {
  const { leading } = state
  if (leading === undefined) return keep(state)
  const index = readLast(state.log).index + 1
  const entry: Entry<C> = { index, term: state.mark.term, command, bytes: JSON.stringify(command).length }
  const proposals = proposal === undefined ? leading.proposals : new Map(leading.proposals).set(index, proposal)
  const next: ReplicaState<S, C> = { ...state, log: appendEntries(state.log, [entry], state.committed), leading: { ...leading, proposals } }
  const own: Appended = { kind: 'agreement/appended', group: state.mark.group!, term: state.mark.term, sentAtMs: moment.monotonicMs, incarnation: state.incarnation, accepted: true, index }
  return continueWith(storeRecords<S, C, O>(next, [{ kind: 'entry', entry }], [sendPeer(state.self, own)]), stored => sendToAll(stored, moment, false))
}

/** Looks at the clock: ends the leadership with its lease, beats, and replaces members. */
export function lead<S, C extends LogCommand, O> (state: ReplicaState<S, C>, moment: Moment): ReplicaStep<S, C, O> {
  const { leading } = state
  if (leading === undefined) return keep(state)
  if (readLease(state) < moment.monotonicMs) return loseLeader<S, C, O>({ ...state, electionAtMs: moment.monotonicMs })
  const beats = moment.monotonicMs - leading.beatAtMs >= LEADER_BEAT_MS
  const beaten: ReplicaStep<S, C, O> = beats
    ? sendToAll(dropSilent({ ...state, leading: { ...leading, beatAtMs: moment.monotonicMs, beatCommitted: state.committed } }, moment), moment, true)
    : keep(state)
  return beats ? continueWith(beaten, next => changeMembers(next, leading.beatCommitted, moment)) : beaten
}

/** Counts what a follower has synced, commits, and sends what comes next. */
export function takeAppended<S, C extends LogCommand, O> (machine: StateMachine<S, C, O>, state: ReplicaState<S, C>, message: Appended, moment: Moment): ReplicaStep<S, C, O> {
  const known = findProgress(state, message)
  if (known === undefined) return message.group === state.mark.group ? learnTerm(state, message.term) : keep(state)
  assertInvariant(!message.accepted || message.index <= readLast(state.log).index, 'no follower holds more than its leader', known.host)
  const matched = message.accepted ? Math.max(known.matched, message.index) : known.matched
  const next = message.accepted ? Math.max(known.next, matched + 1) : Math.max(matched, Math.min(known.next - 1, message.index)) + 1
  const contactAtMs = Math.max(known.contactAtMs, message.sentAtMs)
  const told = putProgress(state, { ...known, matched, next, contactAtMs, outgoing: message.accepted ? undefined : known.outgoing })
  const name = nameReplica(known.host, known.incarnation)
  return continueWith(continueWith(commit(machine, told), committed => reportLease(committed)), extended => sendMore(extended, name, moment))
}

/** Sends the next part of a snapshot. */
export function takeInstalled<S, C extends LogCommand, O> (state: ReplicaState<S, C>, message: Installed, moment: Moment): ReplicaStep<S, C, O> {
  const known = findProgress(state, message)
  if (known === undefined) return message.group === state.mark.group ? learnTerm(state, message.term) : keep(state)
  const contactAtMs = Math.max(known.contactAtMs, message.sentAtMs)
  const fits = known.outgoing?.index === message.index
  const outgoing: Outgoing | undefined = fits ? { ...known.outgoing!, offset: message.offset } : known.outgoing
  const told = putProgress(state, { ...known, contactAtMs, outgoing })
  const more = fits && message.offset > known.outgoing!.offset
  const name = nameReplica(known.host, known.incarnation)
  return continueWith(reportLease<S, C, O>(told), extended => (more ? send(extended, name, moment) : keep(extended)))
}

/** Feeds a host that counts in no quorum yet. */
export function takeLearner<S, C extends LogCommand, O> (state: ReplicaState<S, C>, message: Waiting, moment: Moment): ReplicaStep<S, C, O> {
  const from = message.host ?? message.from ?? ''
  const foreign = message.group !== undefined && message.group !== state.mark.group
  const known = state.voters > 0 || state.control.includes(from)
  if (state.leading === undefined || foreign || !known) return keep(state)
  const name = nameReplica(from, message.incarnation)
  if (state.leading.progress.has(name)) return keep(state)
  const fresh: Progress = { host: from, incarnation: message.incarnation, matched: 0, next: readLast(state.log).index + 1, contactAtMs: moment.monotonicMs }
  return send(putProgress(state, fresh), name, moment)
}

function findProgress<S, C> (state: ReplicaState<S, C>, message: Appended | Installed): Progress | undefined {
  if (message.group !== state.mark.group || message.term !== state.mark.term) return undefined
  return state.leading?.progress.get(nameReplica(message.from ?? '', message.incarnation))
}

function putProgress<S, C> (state: ReplicaState<S, C>, known: Progress): ReplicaState<S, C> {
  const { leading } = state
  if (leading === undefined) return state
  const progress = new Map(leading.progress).set(nameReplica(known.host, known.incarnation), known)
  return { ...state, leading: { ...leading, progress } }
}

function dropSilent<S, C> (state: ReplicaState<S, C>, moment: Moment): ReplicaState<S, C> {
  const { leading } = state
  if (leading === undefined) return state
  const counted = new Set([nameReplica(state.self, state.incarnation), ...listOthers(state).map(([host, incarnation]) => nameReplica(host, incarnation))])
  const kept = [...leading.progress].filter(([name, { contactAtMs }]) => counted.has(name) || moment.monotonicMs - contactAtMs < LEARNER_SILENT_MS)
  return kept.length === leading.progress.size ? state : { ...state, leading: { ...leading, progress: new Map(kept) } }
}

function commit<S, C extends LogCommand, O> (machine: StateMachine<S, C, O>, state: ReplicaState<S, C>): ReplicaStep<S, C, O> {
  const { leading } = state
  if (leading === undefined || state.log.configuration === undefined) return keep(state)
  const reached = readQuorum(state.log.configuration, (host, incarnation) => leading.progress.get(nameReplica(host, incarnation))?.matched ?? 0)
  if (reached <= state.committed || findTerm(state.log, reached) !== state.mark.term) return keep(state)
  return continueWith(applyCommitted(machine, state, reached), applied => markEstablished(applied))
}

function markEstablished<S, C extends LogCommand, O> (state: ReplicaState<S, C>): ReplicaStep<S, C, O> {
  const { leading } = state
  if (leading === undefined || leading.established || state.committed < leading.began) return keep(state)
  return {
    state: { ...state, leading: { ...leading, established: true } },
    effects: [{ kind: 'replica/leader', leader: state.self, term: state.mark.term, state: state.applied }]
  }
}

function reportLease<S, C extends LogCommand, O> (state: ReplicaState<S, C>): ReplicaStep<S, C, O> {
  if (state.leading?.established !== true) return keep(state)
  return { state, effects: [{ kind: 'replica/lease', untilMs: readLease(state) }] }
}

// One change at a time, and the old member's majority must agree too, so that no
// two majorities can ever decide without a common incarnation.
function changeMembers<S, C extends LogCommand, O> (state: ReplicaState<S, C>, caughtUp: number, moment: Moment): ReplicaStep<S, C, O> {
  const { leading } = state
  const { configuration, configuredAt } = state.log
  if (leading?.established !== true || configuration === undefined || configuredAt > state.committed) return keep(state)
  if (configuration.old !== undefined) return appendOwn(state, { kind: 'agreement/settle' }, undefined, moment)
  const ready = [...leading.progress.values()].filter(({ host, incarnation, matched, contactAtMs }) =>
    configuration.members[host] !== incarnation && matched >= caughtUp && moment.monotonicMs - contactAtMs < ELECTION_MIN_MS)
  const returning = ready.find(({ host }) => configuration.members[host] !== undefined)
  const joining = returning ?? ready[0]
  if (joining === undefined) return keep(state)
  const { host, incarnation } = joining
  if (returning !== undefined || Object.keys(configuration.members).length < state.voters) return appendOwn(state, { kind: 'agreement/replace', host, incarnation }, undefined, moment)
  const instead = findLost(state, configuration.members, moment)
  return instead === undefined ? keep(state) : appendOwn(state, { kind: 'agreement/replace', host, incarnation, instead }, undefined, moment)
}

// A member that was silent for so long gives its place to a host that is there.
function findLost<S, C> ({ leading, self }: ReplicaState<S, C>, members: Members, moment: Moment): string | undefined {
  const lost = Object.entries(members).filter(([host, incarnation]) => {
    const contactAtMs = leading?.progress.get(nameReplica(host, incarnation))?.contactAtMs ?? -Infinity
    return host !== self && moment.monotonicMs - Math.max(contactAtMs, leading?.ledAtMs ?? 0) > MEMBER_LOST_MS
  })
  return lost[0]?.[0]
}

function sendToAll<S, C extends LogCommand, O> (state: ReplicaState<S, C>, moment: Moment, beats: boolean): ReplicaStep<S, C, O> {
  const own = nameReplica(state.self, state.incarnation)
  const names = [...(state.leading?.progress.keys() ?? [])].filter(name => name !== own)
  return names.reduce<ReplicaStep<S, C, O>>((step, name) => continueWith(step, next => (beats ? send(next, name, moment) : sendMore(next, name, moment))), keep(state))
}

function sendMore<S, C extends LogCommand, O> (state: ReplicaState<S, C>, name: string, moment: Moment): ReplicaStep<S, C, O> {
  const progress = state.leading?.progress.get(name)
  if (progress === undefined || progress.incarnation === state.incarnation || progress.outgoing !== undefined) return keep(state)
  const full = progress.next - progress.matched > ENTRIES_UNDERWAY && progress.matched > 0
  return full || progress.next > readLast(state.log).index ? keep(state) : send(state, name, moment)
}

function send<S, C extends LogCommand, O> (state: ReplicaState<S, C>, name: string, moment: Moment): ReplicaStep<S, C, O> {
  const progress = state.leading!.progress.get(name)!
  const previous = progress.next - 1
  const term = findTerm(state.log, previous)
  const lacks = term === undefined || (progress.next <= readLast(state.log).index && findEntry(state.log, progress.next) === undefined)
  if (progress.outgoing !== undefined || lacks) return sendSnapshot(state, progress, moment)
  const entries = progress.next - progress.matched > ENTRIES_UNDERWAY && progress.matched > 0 ? [] : listFrom(state.log, progress.next, state.limits.messageBytes)
  const append: Append<C> = {
    kind: 'agreement/append',
    group: state.mark.group!,
    term: state.mark.term,
    sentAtMs: moment.monotonicMs,
    for: progress.incarnation,
    previous: { index: previous, term },
    entries,
    committed: state.committed
  }
  return { state: putProgress(state, { ...progress, next: progress.next + entries.length }), effects: [sendPeer(progress.host, append)] }
}

function sendSnapshot<S, C extends LogCommand, O> (state: ReplicaState<S, C>, progress: Progress, moment: Moment): ReplicaStep<S, C, O> {
  const outgoing = progress.outgoing ?? createOutgoing(state)
  const text = outgoing.text.slice(outgoing.offset, outgoing.offset + state.limits.messageBytes)
  const install: Install = {
    kind: 'agreement/install',
    group: state.mark.group!,
    term: state.mark.term,
    sentAtMs: moment.monotonicMs,
    for: progress.incarnation,
    index: outgoing.index,
    offset: outgoing.offset,
    text,
    done: outgoing.offset + text.length >= outgoing.text.length
  }
  const effects: readonly CoreEffect[] = [sendPeer(progress.host, install)]
  return { state: putProgress(state, { ...progress, outgoing }), effects }
}

function createOutgoing<S, C> (state: ReplicaState<S, C>): Outgoing {
  const { base } = state.log
  return { index: base.index, term: base.term, text: JSON.stringify(base), offset: 0 }
}
