/** Decisions of one log replica over an arbitrary state machine. */
import { sendPeer, setTimer, type Moment } from '../core/message.js'
import { startPreVote, startColdPreVote, drawElectionTime, isColdElectionDue, answerVoteRequest, countVote } from './election.js'
import { handleAppend, handleSnapshotChunk } from './following.js'
import { requestMembership, createGroup, recordEmptyHost } from './forming.js'
import { appendCommand, runLeaderTick, startLeadership, handleAppendResponse, handleSnapshotChunkResponse, addLearner } from './leading.js'
import { createLog, type LogCommand } from './log.js'
import type { StateMachine } from './statemachine.js'
import { continueWith, createReplicaState, keepState, MIN_ELECTION_TIMEOUT_MS, releaseSyncedEffects, TICK_INTERVAL_MS, type Propose, type ReplicaMessage, type ReplicaStarted, type ReplicaState, type ReplicaStep, type MembershipRequest } from './replica.js'

/**
 * Decides on one message of a replica.
 * @example decideReplica(CatalogMachine.create(), state, { kind: 'agreement/tick' }, moment)
 */
export function decideReplica<S, C extends LogCommand, O> (machine: StateMachine<S, C, O>, state: ReplicaState<S, C>, message: ReplicaMessage<S, C>, moment: Moment): ReplicaStep<S, C, O> {
  switch (message.kind) {
    case 'agreement/started': return start(machine, message, moment)
    case 'agreement/tick': return runTick(state, moment)
    case 'agreement/stored': return releaseSyncedEffects(state, message)
    case 'agreement/propose': return propose(state, message, moment)
    case 'agreement/vote-asked': return answerVoteRequest(state, message, moment)
    case 'agreement/vote-answered': {
      const { step, elected } = countVote<S, C, O>(state, message, moment)
      return elected ? continueWith(step, next => startLeadership(next, moment)) : step
    }
    case 'agreement/append': return handleAppend(machine, state, message, moment)
    case 'agreement/appended': return handleAppendResponse(machine, state, message, moment)
    case 'agreement/install': return handleSnapshotChunk(state, message, moment)
    case 'agreement/installed': return handleSnapshotChunkResponse(state, message, moment)
    case 'agreement/waiting': return handleMembershipRequest(state, message, moment)
  }
}

/** A tick that comes later than this counts as late: a quarter of the shortest lease. */
const LATE_TICK_MS = 100
/** The late ticks from which on a host counts as short of processor time, and the most that are counted. */
const LOADED_LATE_TICKS = 3
const MAX_LATE_TICKS = 6
/** How much the count falls with each tick that is on time: by one in two seconds. */
const LATE_TICKS_DECAY = 0.025
/** How long a host counts as short of processor time after the last sign of it. */
const LOADED_FOR_MS = 30_000

function start<S, C extends LogCommand, O> (machine: StateMachine<S, C, O>, message: ReplicaStarted<S, C>, moment: Moment): ReplicaStep<S, C, O> {
  const initialState = createReplicaState<S, C>(machine.initial)
  const { self, control, forms = true, voters = 0, recovered, limits = initialState.limits } = message
  if (recovered === undefined) return keepState({ ...initialState, self, control })
  const { incarnation, mark, snapshot = initialState.log.snapshot, entries } = recovered
  const state: ReplicaState<S, C> = {
    ...initialState,
    self,
    control,
    mayFormGroup: forms,
    voters,
    incarnation,
    limits,
    hardState: mark,
    log: createLog(snapshot, entries),
    committed: snapshot.index,
    applied: snapshot.state,
    // This host may have voted or answered a leader just before the restart, so it waits out that lease.
    leaderContactAtMs: moment.monotonicMs,
    promisedUntilMs: moment.monotonicMs + (mark.promisedMs ?? MIN_ELECTION_TIMEOUT_MS),
    coldStart: mark.group !== undefined,
    startedAtMs: moment.monotonicMs,
    electionDueAtMs: drawElectionTime(moment, mark.promisedMs)
  }
  return { state, effects: [setTimer('agreement/tick', TICK_INTERVAL_MS, { kind: 'agreement/tick' })] }
}

function runTick<S, C extends LogCommand, O> (state: ReplicaState<S, C>, moment: Moment): ReplicaStep<S, C, O> {
  const ticked: ReplicaStep<S, C, O> = { state: recordLateness(state, moment), effects: [setTimer('agreement/tick', TICK_INTERVAL_MS, { kind: 'agreement/tick' })] }
  return continueWith(ticked, next => {
    if (next.role === 'leader') return runLeaderTick(next, moment)
    const formation = continueWith(requestMembership<S, C, O>(next), announced => createGroup(announced, moment))
    return continueWith(formation, formed => {
      if (moment.monotonicMs >= formed.electionDueAtMs) return startPreVote(formed, moment)
      return isColdElectionDue(formed, moment) ? startColdPreVote(formed, moment) : keepState(formed)
    })
  })
}

// One late tick may come from a suspended process; several show that it is short of processor time.
function recordLateness<S, C> (state: ReplicaState<S, C>, moment: Moment): ReplicaState<S, C> {
  const nowMs = moment.monotonicMs
  const lateMs = nowMs - (state.tickedAtMs ?? nowMs) - TICK_INTERVAL_MS
  const lateTicks = lateMs > LATE_TICK_MS ? Math.min(MAX_LATE_TICKS, state.lateTicks + 1) : Math.max(0, state.lateTicks - LATE_TICKS_DECAY)
  const loadedUntilMs = lateTicks >= LOADED_LATE_TICKS ? nowMs + LOADED_FOR_MS : state.loadedUntilMs
  return { ...state, tickedAtMs: nowMs, lateTicks, loadedUntilMs }
}

function propose<S, C extends LogCommand, O> (state: ReplicaState<S, C>, message: Propose<C>, moment: Moment): ReplicaStep<S, C, O> {
  return appendCommand(state, message.command, message.proposal, moment)
}

function handleMembershipRequest<S, C extends LogCommand, O> (state: ReplicaState<S, C>, message: MembershipRequest, moment: Moment): ReplicaStep<S, C, O> {
  if (state.role === 'leader') return addLearner(state, message, moment)
  // Forwards the request: the sender may not know the leader's address.
  const forwards = state.leader !== undefined && message.host === undefined && message.from !== undefined
  if (forwards) return { state, effects: [sendPeer(state.leader!, { ...message, host: message.from })] }
  // A forwarded request says nothing about the host that forwarded it.
  if (message.host !== undefined || message.from === undefined) return keepState(state)
  return recordEmptyHost({ ...state, knownIncarnations: new Map(state.knownIncarnations).set(message.from, message.incarnation) }, message, moment)
}
