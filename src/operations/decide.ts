/** Decisions of the operations slice: commands go to the leader, and its answers back to the operator. */
import type { CoreEffect, Effect, Moment, Step } from '../core/message.js'
import { sendPeer, type HostMessage } from '../messages.js'
import type { Asked, Command, OperationsMessage } from './messages.js'

/** State of the operations slice. */
export interface OperationsState {
  readonly leader?: string
}

/** Answers an operator's call. */
export interface AnswerOperator extends Effect {
  readonly kind: 'operator/answer'
  readonly operation: string
  readonly outcome: unknown
}

/**
 * Creates the state of a host that knows no leader.
 * @example createOperationsState().leader // undefined
 */
export function createOperationsState (): OperationsState {
  return {}
}

/**
 * Decides on one message of the operations slice.
 * @example decideOperations(state, { kind: 'operations/leader-known', leader: 'host-1' }, moment)
 */
export function decideOperations (state: OperationsState, message: OperationsMessage, _moment: Moment): Step<OperationsState, CoreEffect | AnswerOperator> {
  switch (message.kind) {
    case 'operations/leader-known': return { state: { leader: message.leader }, effects: [] }
    case 'operations/answered': return { state, effects: [{ kind: 'operator/answer', operation: message.operation, outcome: message.outcome }] }
    case 'operations/asked': return forward(state, message)
  }
}

function forward (state: OperationsState, message: Asked): Step<OperationsState, CoreEffect | AnswerOperator> {
  const { operation, requestId, command } = message
  if (state.leader === undefined) return { state, effects: [{ kind: 'operator/answer', operation, outcome: { error: 'no-leader' } }] }
  return { state, effects: [sendPeer(state.leader, createOrder(operation, requestId, command))] }
}

function createOrder (operation: string, requestId: string, command: Command): HostMessage {
  switch (command.name) {
    case 'document/apply': return { kind: 'documents/apply', operation, requestId, text: command.text, version: command.version }
    case 'primacy/move': return { kind: 'primacy/move', operation, group: command.group, database: command.database }
  }
}
