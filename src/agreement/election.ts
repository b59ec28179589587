/** Leader election with pre-votes, and the leader's lease. */
import { assertInvariant } from '../core/invariant.js'
import { sendPeer, type CoreEffect, type Moment } from '../core/message.js'
import { hasQuorum, findLastPoint, calculateQuorumValue, type LogCommand, type LogPoint } from './log.js'
import { COLD_START_STAGGER_MS, continueWith, MIN_ELECTION_TIMEOUT_MS, ELECTION_JITTER_MS, isMember, keepState, listOthers, matchesSelf, nameReplica, sendAfterSync, storeRecords, type JournalRecord, type HardState, type ReplicaEffect, type ReplicaState, type ReplicaStep, type Vote, type VoteResponse, type VoteRequest } from './replica.js'

/** Returns a randomised time for the next election, in milliseconds of the monotonic clock: later than the promise to a leader. */
export function drawElectionTime (moment: Moment, holdMs: number = MIN_ELECTION_TIMEOUT_MS): number {
  return moment.monotonicMs + holdMs + moment.random * ELECTION_JITTER_MS
}

/** Returns the end of the leader's lease: until then, a majority votes for no other candidate. */
export function calculateLeaseEnd<S, C> (state: ReplicaState<S, C>): number {
  const { leaderState } = state
  if (leaderState === undefined || state.log.configuration === undefined) return -Infinity
  return calculateQuorumValue(state.log.configuration, (host, incarnation) => {
    if (incarnation === state.incarnation) return Infinity
    return leaderState.progress.get(nameReplica(host, incarnation))?.leaseUntilMs ?? -Infinity
  })
}

/** Steps down to a follower that knows no leader. */
export function clearLeader<S, C, O> (state: ReplicaState<S, C>): ReplicaStep<S, C, O> {
  const next: ReplicaState<S, C> = { ...state, role: 'follower', leader: undefined, leaderState: undefined, votes: new Map() }
  const changed = state.leader !== undefined || state.leaderState !== undefined
  const notification: ReplicaEffect<S, C, O> = { kind: 'replica/leader', term: next.hardState.term, state: next.applied }
  return { state: next, effects: changed ? [notification] : [] }
}

/** Enters a later term, in which this host has not voted, and joins its group. The caller must store the hard state. */
export function beginTerm<S, C, O> (state: ReplicaState<S, C>, group: string, term: number): ReplicaStep<S, C, O> {
  if (term === state.hardState.term && group === state.hardState.group) return keepState(state)
  const hardState: HardState = term > state.hardState.term ? { ...state.hardState, votedFor: undefined, group, term } : { ...state.hardState, group }
  return clearLeader({ ...state, hardState })
}

/** Starts a pre-vote: asks for votes without increasing the term, so that a host that can't win disturbs no leader. */
export function startPreVote<S, C extends LogCommand, O> (state: ReplicaState<S, C>, moment: Moment): ReplicaStep<S, C, O> {
  const electionDueAtMs = drawElectionTime(moment)
  if (!isMember(state) || state.hardState.group === undefined) return keepState({ ...state, electionDueAtMs })
  return continueWith(clearLeader<S, C, O>({ ...state, electionDueAtMs }), follower => {
    const preCandidate: ReplicaState<S, C> = { ...follower, role: 'asking', votes: createOwnVote(state, moment) }
    return continueWith<S, C, O>({ state: preCandidate, effects: createVoteRequests(preCandidate, { pre: true, cold: false }, state.hardState.term + 1, moment) }, requested => startElectionIfGranted(requested, moment))
  })
}

/**
 * Tells whether this host may start a pre-vote before its election timeout: it has heard no leader since it
 * started, and the stagger delay of the members sorted before it has passed.
 */
export function isColdElectionDue<S, C extends LogCommand> (state: ReplicaState<S, C>, moment: Moment): boolean {
  if (!state.coldStart || !hasRecentLeader(state, moment) || !isMember(state) || state.role === 'candidate') return false
  const position = [...listOthers(state).map(([host]) => host), state.self].sort().indexOf(state.self)
  return moment.monotonicMs - state.startedAtMs >= position * COLD_START_STAGGER_MS
}

/**
 * Starts a pre-vote that asks whether all other members have just started as well. In that case no lease is
 * valid, and the election needn't wait for one to end.
 */
export function startColdPreVote<S, C extends LogCommand, O> (state: ReplicaState<S, C>, moment: Moment): ReplicaStep<S, C, O> {
  const preCandidate: ReplicaState<S, C> = { ...state, role: 'asking', votes: createOwnVote(state, moment) }
  return { state: preCandidate, effects: createVoteRequests(preCandidate, { pre: true, cold: true }, state.hardState.term + 1, moment) }
}

function createOwnVote<S, C> (state: ReplicaState<S, C>, moment: Moment): ReadonlyMap<string, Vote> {
  return new Map([[state.self, { incarnation: state.incarnation, sentAtMs: moment.monotonicMs, ...createColdFlag(hasRecentLeader(state, moment)) }]])
}

/** Answers a vote request. The vote is synced before the answer leaves. */
export function answerVoteRequest<S, C extends LogCommand, O> (state: ReplicaState<S, C>, message: VoteRequest, moment: Moment): ReplicaStep<S, C, O> {
  if (!matchesSelf(state, message)) return keepState(state)
  return message.pre ? answerPreVote(state, message, moment) : answerVote(state, message, moment)
}

/** Counts a vote, and returns whether this host is elected. */
export function countVote<S, C extends LogCommand, O> (state: ReplicaState<S, C>, message: VoteResponse, moment: Moment): { readonly step: ReplicaStep<S, C, O>, readonly elected: boolean } {
  if (message.group !== state.hardState.group) return { step: keepState(state), elected: false }
  if (message.known > state.hardState.term) return { step: learnTerm(state, message.known), elected: false }
  const expected = message.pre ? state.role === 'asking' && message.term === state.hardState.term + 1 : state.role === 'candidate' && message.term === state.hardState.term
  if (!expected || !message.granted) return { step: keepState(state), elected: false }
  const votes = new Map(state.votes).set(message.from ?? '', { incarnation: message.incarnation, sentAtMs: message.sentAtMs, ...createColdFlag(message.cold === true) })
  const counted: ReplicaState<S, C> = { ...state, votes }
  if (message.pre) return { step: startElectionIfGranted(counted, moment), elected: false }
  return { step: keepState(counted), elected: hasElectionQuorum(counted) }
}

/** Enters a later term that another host reported. */
export function learnTerm<S, C, O> (state: ReplicaState<S, C>, term: number): ReplicaStep<S, C, O> {
  if (state.hardState.group === undefined || term <= state.hardState.term) return keepState(state)
  return continueWith(beginTerm<S, C, O>(state, state.hardState.group, term), next => storeRecords(next, [createHardStateRecord(next)], []))
}

/** Returns the journal record of the term and the vote. */
export function createHardStateRecord<S, C> (state: ReplicaState<S, C>): JournalRecord<C> {
  return { kind: 'mark', mark: state.hardState }
}

// Votes of members that have just started count only if every other member voted as well: a leader's lease could rest
// on any one that did not.
function hasElectionQuorum<S, C extends LogCommand> (state: ReplicaState<S, C>): boolean {
  const { configuration } = state.log
  if (configuration === undefined) return false
  const votesFor = (host: string, incarnation: string): boolean => state.votes.get(host)?.incarnation === incarnation
  // If the host runs as another incarnation, the member's process is gone.
  const isGone = (host: string, incarnation: string): boolean => (state.knownIncarnations.get(host) ?? incarnation) !== incarnation
  return hasQuorum(configuration, votesFor) && (!isColdElection(state) || listOthers(state).every(([host, incarnation]) => votesFor(host, incarnation) || isGone(host, incarnation)))
}

function isColdElection<S, C> (state: ReplicaState<S, C>): boolean {
  return [...state.votes.values()].some(vote => vote.cold === true)
}

function startElectionIfGranted<S, C extends LogCommand, O> (state: ReplicaState<S, C>, moment: Moment): ReplicaStep<S, C, O> {
  if (!hasElectionQuorum(state)) return keepState(state)
  const term = state.hardState.term + 1
  const voted = recordVote({ ...state, hardState: { ...state.hardState, votedFor: undefined, term } }, state.self)
  const candidate: ReplicaState<S, C> = { ...voted, role: 'candidate', coldStart: false, votes: new Map(), electionDueAtMs: drawElectionTime(moment) }
  const ownVote = sendPeer(state.self, createVoteResponse(candidate, { pre: false, term, group: voted.hardState.group!, sentAtMs: moment.monotonicMs }, true))
  const requests = createVoteRequests(candidate, { pre: false, cold: isColdElection(state) }, term, moment)
  return storeRecords(candidate, [createHardStateRecord(candidate)], [ownVote, ...requests])
}

function createVoteRequests<S, C> (state: ReplicaState<S, C>, { pre, cold }: { readonly pre: boolean, readonly cold: boolean }, term: number, moment: Moment): readonly CoreEffect[] {
  return listOthers(state).map(([host, incarnation]) => sendPeer<VoteRequest>(host, {
    kind: 'agreement/vote-asked',
    group: state.hardState.group!,
    term,
    pre,
    ...createColdFlag(cold),
    for: incarnation,
    last: findLastPoint(state.log),
    sentAtMs: moment.monotonicMs
  }))
}

function createColdFlag (cold: boolean): { readonly cold?: true } {
  return cold ? { cold } : {}
}

function answerPreVote<S, C, O> (state: ReplicaState<S, C>, message: VoteRequest, moment: Moment): ReplicaStep<S, C, O> {
  const recentLeader = hasRecentLeader(state, moment)
  const granted = message.term > state.hardState.term && !isBoundToLeader(state, message, moment) && coversLog(message.last, findLastPoint(state.log))
  return { state, effects: [sendPeer(message.from ?? '', { ...createVoteResponse(state, message, granted), ...createColdFlag(granted && recentLeader) })] }
}

function answerVote<S, C extends LogCommand, O> (state: ReplicaState<S, C>, message: VoteRequest, moment: Moment): ReplicaStep<S, C, O> {
  const from = message.from ?? ''
  if (isBoundToLeader(state, message, moment) || message.term < state.hardState.term) return keepState(state)
  return continueWith(beginTerm<S, C, O>(state, message.group, message.term), entered => {
    const { votedFor } = entered.hardState
    if (votedFor === from) return sendAfterSync(entered, sendPeer(from, createVoteResponse(entered, message, true)))
    const granted = votedFor === undefined && coversLog(message.last, findLastPoint(entered.log))
    if (!granted) return storeRecords(entered, [createHardStateRecord(entered)], [sendPeer(from, createVoteResponse(entered, message, false))])
    const promisedUntilMs = Math.max(entered.promisedUntilMs, moment.monotonicMs + MIN_ELECTION_TIMEOUT_MS)
    const voted: ReplicaState<S, C> = { ...recordVote(entered, from), leaderContactAtMs: moment.monotonicMs, promisedUntilMs, coldStart: false, electionDueAtMs: drawElectionTime(moment) }
    return storeRecords(voted, [createHardStateRecord(voted)], [sendPeer(from, createVoteResponse(voted, message, true))])
  })
}

function recordVote<S, C> (state: ReplicaState<S, C>, candidate: string): ReplicaState<S, C> {
  assertInvariant(state.hardState.votedFor === undefined, 'an incarnation votes at most once per term', `${state.hardState.votedFor} and ${candidate}`)
  return { ...state, hardState: { ...state.hardState, votedFor: candidate } }
}

function createVoteResponse<S, C> (state: ReplicaState<S, C>, message: { readonly group: string, readonly term: number, readonly pre: boolean, readonly sentAtMs: number }, granted: boolean): VoteResponse {
  const { group, term, pre, sentAtMs } = message
  return { kind: 'agreement/vote-answered', group, term, pre, sentAtMs, granted, incarnation: state.incarnation, known: state.hardState.term }
}

// The lease of a leader that this host heard, perhaps before its process started, may still rest on this host.
function isBoundToLeader<S, C> (state: ReplicaState<S, C>, message: VoteRequest, moment: Moment): boolean {
  return hasRecentLeader(state, moment) && !(state.coldStart && message.cold === true)
}

function hasRecentLeader<S, C> (state: ReplicaState<S, C>, moment: Moment): boolean {
  if (state.role === 'leader') return moment.monotonicMs < calculateLeaseEnd(state)
  return moment.monotonicMs < state.promisedUntilMs
}

function coversLog (candidate: LogPoint, own: LogPoint): boolean {
  return candidate.term > own.term || (candidate.term === own.term && candidate.index >= own.index)
}
