/** Elections: who leads in a term, and how long a leader may act. */
import { assertInvariant } from '../core/invariant.js'
import { sendPeer, type CoreEffect, type Moment } from '../core/message.js'
import { hasQuorum, readLast, readQuorum, type LogCommand, type LogPoint } from './log.js'
import { continueWith, ELECTION_MIN_MS, ELECTION_SPREAD_MS, isMember, keep, LEADER_LEASE_MS, listOthers, matchesSelf, nameReplica, sendSynced, storeRecords, type JournalRecord, type Mark, type ReplicaEffect, type ReplicaState, type ReplicaStep, type VoteAnswered, type VoteAsked } from './replica.js'

/** Draws the time of the next election. */
export function drawElection (moment: Moment): number {
  return moment.monotonicMs + ELECTION_MIN_MS + moment.random * ELECTION_SPREAD_MS
}

/** Returns the moment up to which a leader may act: a majority votes for nobody else before it. */
export function readLease<S, C> (state: ReplicaState<S, C>): number {
  const { leading } = state
  if (leading === undefined || state.log.configuration === undefined) return -Infinity
  const contactAtMs = readQuorum(state.log.configuration, (host, incarnation) => {
    if (incarnation === state.incarnation) return Infinity
    return leading.progress.get(nameReplica(host, incarnation))?.contactAtMs ?? -Infinity
  })
  return contactAtMs + LEADER_LEASE_MS
}

/** Ceases to lead or to follow; the leader is not known. */
export function loseLeader<S, C, O> (state: ReplicaState<S, C>): ReplicaStep<S, C, O> {
  const next: ReplicaState<S, C> = { ...state, role: 'follower', leader: undefined, leading: undefined, votes: new Map() }
  const changed = state.leader !== undefined || state.leading !== undefined
  const told: ReplicaEffect<S, C, O> = { kind: 'replica/leader', term: next.mark.term, state: next.applied }
  return { state: next, effects: changed ? [told] : [] }
}

/** Moves to a later term, in which this host has not voted. The caller stores the mark. */
export function beginTerm<S, C, O> (state: ReplicaState<S, C>, group: string, term: number): ReplicaStep<S, C, O> {
  if (term === state.mark.term && group === state.mark.group) return keep(state)
  const mark: Mark = term > state.mark.term ? { group, term } : { ...state.mark, group }
  return loseLeader({ ...state, mark })
}

/** Asks whether the others would vote for this host, before it disturbs anyone with a new term. */
export function askAround<S, C extends LogCommand, O> (state: ReplicaState<S, C>, moment: Moment): ReplicaStep<S, C, O> {
  const electionAtMs = drawElection(moment)
  if (!isMember(state) || state.mark.group === undefined) return keep({ ...state, electionAtMs })
  return continueWith(loseLeader<S, C, O>({ ...state, electionAtMs }), down => {
    const votes = new Map([[state.self, { incarnation: state.incarnation, sentAtMs: moment.monotonicMs }]])
    const asking: ReplicaState<S, C> = { ...down, role: 'asking', votes }
    return continueWith<S, C, O>({ state: asking, effects: createAsks(asking, true, state.mark.term + 1, moment) }, asked => advanceIfWanted(asked, moment))
  })
}

/** Answers a candidate. A vote is stored before it is answered. */
export function takeAsk<S, C extends LogCommand, O> (state: ReplicaState<S, C>, message: VoteAsked, moment: Moment): ReplicaStep<S, C, O> {
  if (!matchesSelf(state, message)) return keep(state)
  return message.pre ? answerPreVote(state, message, moment) : vote(state, message, moment)
}

/** Counts a vote. Returns whether this host is elected. */
export function takeVote<S, C extends LogCommand, O> (state: ReplicaState<S, C>, message: VoteAnswered, moment: Moment): { readonly step: ReplicaStep<S, C, O>, readonly elected: boolean } {
  if (message.group !== state.mark.group) return { step: keep(state), elected: false }
  if (message.known > state.mark.term) return { step: learnTerm(state, message.known), elected: false }
  const wanted = message.pre ? state.role === 'asking' && message.term === state.mark.term + 1 : state.role === 'candidate' && message.term === state.mark.term
  if (!wanted || !message.granted) return { step: keep(state), elected: false }
  const votes = new Map(state.votes).set(message.from ?? '', { incarnation: message.incarnation, sentAtMs: message.sentAtMs })
  const counted: ReplicaState<S, C> = { ...state, votes }
  if (message.pre) return { step: advanceIfWanted(counted, moment), elected: false }
  return { step: keep(counted), elected: isWanted(counted) }
}

/** Takes over a later term that another host told of. */
export function learnTerm<S, C, O> (state: ReplicaState<S, C>, term: number): ReplicaStep<S, C, O> {
  if (state.mark.group === undefined || term <= state.mark.term) return keep(state)
  return continueWith(beginTerm<S, C, O>(state, state.mark.group, term), next => storeRecords(next, [createMarkRecord(next)], []))
}

/** Returns the record of the term and the vote. */
export function createMarkRecord<S, C> (state: ReplicaState<S, C>): JournalRecord<C> {
  return { kind: 'mark', mark: state.mark }
}

function isWanted<S, C extends LogCommand> (state: ReplicaState<S, C>): boolean {
  return state.log.configuration !== undefined && hasQuorum(state.log.configuration, (host, incarnation) => state.votes.get(host)?.incarnation === incarnation)
}

function advanceIfWanted<S, C extends LogCommand, O> (state: ReplicaState<S, C>, moment: Moment): ReplicaStep<S, C, O> {
  if (!isWanted(state)) return keep(state)
  const term = state.mark.term + 1
  const voted = markVote({ ...state, mark: { group: state.mark.group, term } }, state.self)
  const standing: ReplicaState<S, C> = { ...voted, role: 'candidate', votes: new Map(), electionAtMs: drawElection(moment) }
  const own = sendPeer(state.self, createAnswer(standing, { pre: false, term, group: voted.mark.group!, sentAtMs: moment.monotonicMs }, true))
  return storeRecords(standing, [createMarkRecord(standing)], [own, ...createAsks(standing, false, term, moment)])
}

function createAsks<S, C> (state: ReplicaState<S, C>, pre: boolean, term: number, moment: Moment): readonly CoreEffect[] {
  return listOthers(state).map(([host, incarnation]) => sendPeer<VoteAsked>(host, {
    kind: 'agreement/vote-asked',
    group: state.mark.group!,
    term,
    pre,
    for: incarnation,
    last: readLast(state.log),
    sentAtMs: moment.monotonicMs
  }))
}

function answerPreVote<S, C, O> (state: ReplicaState<S, C>, message: VoteAsked, moment: Moment): ReplicaStep<S, C, O> {
  const granted = message.term > state.mark.term && !hasHeardLeader(state, moment) && coversLog(message.last, readLast(state.log))
  return { state, effects: [sendPeer(message.from ?? '', createAnswer(state, message, granted))] }
}

function vote<S, C extends LogCommand, O> (state: ReplicaState<S, C>, message: VoteAsked, moment: Moment): ReplicaStep<S, C, O> {
  const from = message.from ?? ''
  if (hasHeardLeader(state, moment) || message.term < state.mark.term) return keep(state)
  return continueWith(beginTerm<S, C, O>(state, message.group, message.term), entered => {
    const { votedFor } = entered.mark
    if (votedFor === from) return sendSynced(entered, sendPeer(from, createAnswer(entered, message, true)))
    const granted = votedFor === undefined && coversLog(message.last, readLast(entered.log))
    if (!granted) return storeRecords(entered, [createMarkRecord(entered)], [sendPeer(from, createAnswer(entered, message, false))])
    const voted: ReplicaState<S, C> = { ...markVote(entered, from), heardAtMs: moment.monotonicMs, electionAtMs: drawElection(moment) }
    return storeRecords(voted, [createMarkRecord(voted)], [sendPeer(from, createAnswer(voted, message, true))])
  })
}

function markVote<S, C> (state: ReplicaState<S, C>, candidate: string): ReplicaState<S, C> {
  assertInvariant(state.mark.votedFor === undefined, 'an incarnation votes once in a term', `${state.mark.votedFor} and ${candidate}`)
  return { ...state, mark: { ...state.mark, votedFor: candidate } }
}

function createAnswer<S, C> (state: ReplicaState<S, C>, message: { readonly group: string, readonly term: number, readonly pre: boolean, readonly sentAtMs: number }, granted: boolean): VoteAnswered {
  const { group, term, pre, sentAtMs } = message
  return { kind: 'agreement/vote-answered', group, term, pre, sentAtMs, granted, incarnation: state.incarnation, known: state.mark.term }
}

function hasHeardLeader<S, C> (state: ReplicaState<S, C>, moment: Moment): boolean {
  if (state.role === 'leader') return moment.monotonicMs < readLease(state)
  return moment.monotonicMs - state.heardAtMs < ELECTION_MIN_MS
}

function coversLog (candidate: LogPoint, own: LogPoint): boolean {
  return candidate.term > own.term || (candidate.term === own.term && candidate.index >= own.index)
}
