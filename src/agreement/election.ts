/** Elections: who leads in a term, and how long a leader may act. */
import { assertInvariant } from '../core/invariant.js'
import { sendPeer, type CoreEffect, type Moment } from '../core/message.js'
import { hasQuorum, readLast, readQuorum, type LogCommand, type LogPoint } from './log.js'
import { COLD_STEP_MS, continueWith, ELECTION_MIN_MS, ELECTION_SPREAD_MS, isMember, keep, LEADER_LEASE_MS, listOthers, matchesSelf, nameReplica, sendSynced, storeRecords, type JournalRecord, type Mark, type ReplicaEffect, type ReplicaState, type ReplicaStep, type Vote, type VoteAnswered, type VoteAsked } from './replica.js'

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
    const asking: ReplicaState<S, C> = { ...down, role: 'asking', votes: createOwnVote(state, moment) }
    return continueWith<S, C, O>({ state: asking, effects: createAsks(asking, { pre: true, cold: false }, state.mark.term + 1, moment) }, asked => advanceIfWanted(asked, moment))
  })
}

/**
 * Tells whether this host may ask the others before its election is due: it has heard no leader since it
 * started, and the members that come before it have had their chance.
 */
export function isColdAsker<S, C extends LogCommand> (state: ReplicaState<S, C>, moment: Moment): boolean {
  if (!state.cold || !hasHeardLeader(state, moment) || !isMember(state) || state.role === 'candidate') return false
  const place = [...listOthers(state).map(([host]) => host), state.self].sort().indexOf(state.self)
  return moment.monotonicMs - state.startedAtMs >= place * COLD_STEP_MS
}

/**
 * Asks whether all members have just started, too: then no leader's lease is in use, and nobody has to wait
 * until one would have ended.
 */
export function askCold<S, C extends LogCommand, O> (state: ReplicaState<S, C>, moment: Moment): ReplicaStep<S, C, O> {
  const asking: ReplicaState<S, C> = { ...state, role: 'asking', votes: createOwnVote(state, moment) }
  return { state: asking, effects: createAsks(asking, { pre: true, cold: true }, state.mark.term + 1, moment) }
}

function createOwnVote<S, C> (state: ReplicaState<S, C>, moment: Moment): ReadonlyMap<string, Vote> {
  return new Map([[state.self, { incarnation: state.incarnation, sentAtMs: moment.monotonicMs, ...markCold(hasHeardLeader(state, moment)) }]])
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
  const votes = new Map(state.votes).set(message.from ?? '', { incarnation: message.incarnation, sentAtMs: message.sentAtMs, ...markCold(message.cold === true) })
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

// Votes of members that have just started count where all members gave theirs: a leader's lease could rest on any other.
function isWanted<S, C extends LogCommand> (state: ReplicaState<S, C>): boolean {
  const { configuration } = state.log
  if (configuration === undefined) return false
  const votesFor = (host: string, incarnation: string): boolean => state.votes.get(host)?.incarnation === incarnation
  // Where a host runs as another incarnation, the process of the member is gone.
  const isGone = (host: string, incarnation: string): boolean => (state.told.get(host) ?? incarnation) !== incarnation
  return hasQuorum(configuration, votesFor) && (!isColdElection(state) || listOthers(state).every(([host, incarnation]) => votesFor(host, incarnation) || isGone(host, incarnation)))
}

function isColdElection<S, C> (state: ReplicaState<S, C>): boolean {
  return [...state.votes.values()].some(vote => vote.cold === true)
}

function advanceIfWanted<S, C extends LogCommand, O> (state: ReplicaState<S, C>, moment: Moment): ReplicaStep<S, C, O> {
  if (!isWanted(state)) return keep(state)
  const term = state.mark.term + 1
  const voted = markVote({ ...state, mark: { group: state.mark.group, term } }, state.self)
  const standing: ReplicaState<S, C> = { ...voted, role: 'candidate', cold: false, votes: new Map(), electionAtMs: drawElection(moment) }
  const own = sendPeer(state.self, createAnswer(standing, { pre: false, term, group: voted.mark.group!, sentAtMs: moment.monotonicMs }, true))
  const asks = createAsks(standing, { pre: false, cold: isColdElection(state) }, term, moment)
  return storeRecords(standing, [createMarkRecord(standing)], [own, ...asks])
}

function createAsks<S, C> (state: ReplicaState<S, C>, { pre, cold }: { readonly pre: boolean, readonly cold: boolean }, term: number, moment: Moment): readonly CoreEffect[] {
  return listOthers(state).map(([host, incarnation]) => sendPeer<VoteAsked>(host, {
    kind: 'agreement/vote-asked',
    group: state.mark.group!,
    term,
    pre,
    ...markCold(cold),
    for: incarnation,
    last: readLast(state.log),
    sentAtMs: moment.monotonicMs
  }))
}

function markCold (cold: boolean): { readonly cold?: true } {
  return cold ? { cold } : {}
}

function answerPreVote<S, C, O> (state: ReplicaState<S, C>, message: VoteAsked, moment: Moment): ReplicaStep<S, C, O> {
  const heard = hasHeardLeader(state, moment)
  const granted = message.term > state.mark.term && !isBound(state, message, moment) && coversLog(message.last, readLast(state.log))
  return { state, effects: [sendPeer(message.from ?? '', { ...createAnswer(state, message, granted), ...markCold(granted && heard) })] }
}

function vote<S, C extends LogCommand, O> (state: ReplicaState<S, C>, message: VoteAsked, moment: Moment): ReplicaStep<S, C, O> {
  const from = message.from ?? ''
  if (isBound(state, message, moment) || message.term < state.mark.term) return keep(state)
  return continueWith(beginTerm<S, C, O>(state, message.group, message.term), entered => {
    const { votedFor } = entered.mark
    if (votedFor === from) return sendSynced(entered, sendPeer(from, createAnswer(entered, message, true)))
    const granted = votedFor === undefined && coversLog(message.last, readLast(entered.log))
    if (!granted) return storeRecords(entered, [createMarkRecord(entered)], [sendPeer(from, createAnswer(entered, message, false))])
    const voted: ReplicaState<S, C> = { ...markVote(entered, from), heardAtMs: moment.monotonicMs, cold: false, electionAtMs: drawElection(moment) }
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

// A leader that this host heard, or may have heard before its process started, still relies on it.
function isBound<S, C> (state: ReplicaState<S, C>, message: VoteAsked, moment: Moment): boolean {
  return hasHeardLeader(state, moment) && !(state.cold && message.cold === true)
}

function hasHeardLeader<S, C> (state: ReplicaState<S, C>, moment: Moment): boolean {
  if (state.role === 'leader') return moment.monotonicMs < readLease(state)
  return moment.monotonicMs - state.heardAtMs < ELECTION_MIN_MS
}

function coversLog (candidate: LogPoint, own: LogPoint): boolean {
  return candidate.term > own.term || (candidate.term === own.term && candidate.index >= own.index)
}
