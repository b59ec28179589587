/** Decisions of one replica of the log, over any state machine. */
import { sendPeer, setTimer, type Moment } from '../core/message.js'
import { askAround, askCold, drawElection, isColdAsker, takeAsk, takeVote } from './election.js'
import { takeAppend, takeInstall } from './following.js'
import { announceWaiting, createGroup, takeEmpty } from './forming.js'
import { appendOwn, lead, startLeading, takeAppended, takeInstalled, takeLearner } from './leading.js'
import { createLog, type LogCommand } from './log.js'
import type { StateMachine } from './machine.js'
import { continueWith, createReplicaState, keep, takeStored, TICK_MS, type Propose, type ReplicaMessage, type ReplicaStarted, type ReplicaState, type ReplicaStep, type Waiting } from './replica.js'

/**
 * Decides on one message of a replica.
 * @example decideReplica(CatalogMachine.create(), state, { kind: 'agreement/tick' }, moment)
 */
export function decideReplica<S, C extends LogCommand, O> (machine: StateMachine<S, C, O>, state: ReplicaState<S, C>, message: ReplicaMessage<S, C>, moment: Moment): ReplicaStep<S, C, O> {
  switch (message.kind) {
    case 'agreement/started': return start(machine, message, moment)
    case 'agreement/tick': return run(state, moment)
    case 'agreement/stored': return takeStored(state, message)
    case 'agreement/propose': return propose(state, message, moment)
    case 'agreement/vote-asked': return takeAsk(state, message, moment)
    case 'agreement/vote-answered': {
      const { step, elected } = takeVote<S, C, O>(state, message, moment)
      return elected ? continueWith(step, next => startLeading(next, moment)) : step
    }
    case 'agreement/append': return takeAppend(machine, state, message, moment)
    case 'agreement/appended': return takeAppended(machine, state, message, moment)
    case 'agreement/install': return takeInstall(state, message, moment)
    case 'agreement/installed': return takeInstalled(state, message, moment)
    case 'agreement/waiting': return takeWaiting(state, message, moment)
  }
}

function start<S, C extends LogCommand, O> (machine: StateMachine<S, C, O>, message: ReplicaStarted<S, C>, moment: Moment): ReplicaStep<S, C, O> {
  const fresh = createReplicaState<S, C>(machine.initial)
  const { self, control, forms = true, voters = 0, recovered, limits = fresh.limits } = message
  if (recovered === undefined) return keep({ ...fresh, self, control })
  const { incarnation, mark, snapshot = fresh.log.base, entries } = recovered
  const state: ReplicaState<S, C> = {
    ...fresh,
    self,
    control,
    forms,
    voters,
    incarnation,
    limits,
    mark,
    log: createLog(snapshot, entries),
    committed: snapshot.index,
    applied: snapshot.state,
    // A vote or an answer to a leader may have left just before the restart.
    heardAtMs: moment.monotonicMs,
    cold: mark.group !== undefined,
    startedAtMs: moment.monotonicMs,
    electionAtMs: drawElection(moment)
  }
  return { state, effects: [setTimer('agreement/tick', TICK_MS, { kind: 'agreement/tick' })] }
}

function run<S, C extends LogCommand, O> (state: ReplicaState<S, C>, moment: Moment): ReplicaStep<S, C, O> {
  const ticked: ReplicaStep<S, C, O> = { state, effects: [setTimer('agreement/tick', TICK_MS, { kind: 'agreement/tick' })] }
  return continueWith(ticked, next => {
    if (next.role === 'leader') return lead(next, moment)
    const waiting = continueWith(announceWaiting<S, C, O>(next), announced => createGroup(announced, moment))
    return continueWith(waiting, formed => {
      if (moment.monotonicMs >= formed.electionAtMs) return askAround(formed, moment)
      return isColdAsker(formed, moment) ? askCold(formed, moment) : keep(formed)
    })
  })
}

function propose<S, C extends LogCommand, O> (state: ReplicaState<S, C>, message: Propose<C>, moment: Moment): ReplicaStep<S, C, O> {
  return appendOwn(state, message.command, message.proposal, moment)
}

function takeWaiting<S, C extends LogCommand, O> (state: ReplicaState<S, C>, message: Waiting, moment: Moment): ReplicaStep<S, C, O> {
  if (state.role === 'leader') return takeLearner(state, message, moment)
  // A host that knows few others finds the leader through any of them.
  const passes = state.leader !== undefined && message.host === undefined && message.from !== undefined
  if (passes) return { state, effects: [sendPeer(state.leader!, { ...message, host: message.from })] }
  // What was passed on is no word of the host that passed it on.
  if (message.host !== undefined || message.from === undefined) return keep(state)
  return takeEmpty({ ...state, told: new Map(state.told).set(message.from, message.incarnation) }, message, moment)
}
