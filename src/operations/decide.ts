/** Decisions of the operations slice: commands go to the leader, and its answers back to the operator. */
import type { CoreEffect, Effect, Moment, Step } from '../core/message.js'
import { sendPeer, tell, type HostMessage } from '../messages.js'
import { createUnknownCommand } from './commands.js'
import type { Asked, OperationsMessage } from './messages.js'

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

type OperationsStep = Step<OperationsState, CoreEffect | AnswerOperator>

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
export function decideOperations (state: OperationsState, message: OperationsMessage, _moment: Moment): OperationsStep {
  switch (message.kind) {
    case 'operations/leader-known': return { state: { leader: message.leader }, effects: [] }
    case 'operations/answered': return { state, effects: [answer(message.operation, message.outcome)] }
    case 'operations/asked': return take(state, message)
  }
}

function take (state: OperationsState, message: Asked): OperationsStep {
  const { operation, requestId, command } = message
  switch (command.name) {
    case 'document/apply': return forward(state, operation, { kind: 'documents/apply', operation, requestId, text: command.text, version: command.version })
    case 'status': return command.local === true ? { state, effects: [tell({ kind: 'membership/status-asked', operation })] } : forward(state, operation, { kind: 'membership/status-asked', operation })
    case 'primary/move': return forward(state, operation, { kind: 'primacy/move', operation, group: command.group, database: command.database })
    case 'host/drain': return { state, effects: [tell({ kind: 'membership/drain-asked', operation, host: command.host })] }
    case 'timeline/read': return { state, effects: [tell({ kind: 'timeline/read', operation, query: command })] }
    default: return { state, effects: [answer(operation, createUnknownCommand(command.name))] }
  }
}

function forward (state: OperationsState, operation: string, message: HostMessage): OperationsStep {
  if (state.leader !== undefined) return { state, effects: [sendPeer(state.leader, message)] }
  return { state, effects: [answer(operation, { error: 'no-leader', text: 'This host knows no leader at present.' })] }
}

function answer (operation: string, outcome: unknown): AnswerOperator {
  return { kind: 'operator/answer', operation, outcome }
}
