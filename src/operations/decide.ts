/** Decisions of the operations slice: commands go to the leader, and its answers back to the operator. */
import type { CoreEffect, Effect, Moment, Step } from '../core/message.js'
import { sendPeer, tell } from '../messages.js'
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
    case 'operations/asked': return takeCall(state, message)
  }
}

function takeCall (state: OperationsState, asked: Asked): OperationsStep {
  const { leader } = state
  const local = createLocalOrder(asked)
  if (local !== undefined) return { state, effects: [local] }
  if (leader === undefined) return { state, effects: [answer(asked.operation, { error: 'no-leader', text: 'This host knows no leader at present.' })] }
  return { state, effects: [send(leader, asked)] }
}

/** Commands that the called host itself answers, or passes on to the hosts that they are about. */
function createLocalOrder ({ operation, command }: Asked): CoreEffect | undefined {
  switch (command.name) {
    case 'status': return command.local ? tell({ kind: 'membership/status-asked', operation }) : undefined
    case 'host/drain': return tell({ kind: 'membership/drain-asked', operation, host: command.host })
    case 'timeline/read': return tell({ kind: 'timeline/read', operation, query: command })
    default: return undefined
  }
}

function send (leader: string, { operation, requestId, command }: Asked): CoreEffect | AnswerOperator {
  switch (command.name) {
    case 'document/apply': return sendPeer(leader, { kind: 'documents/apply', operation, requestId, text: command.text, version: command.version })
    case 'status': return sendPeer(leader, { kind: 'membership/status-asked', operation })
    case 'primary/move': return sendPeer(leader, { kind: 'primacy/move', operation, group: command.group, database: command.database })
    default: return answer(operation, { error: 'unknown-command', text: `Command "${command.name}" is not known to this host.` })
  }
}

function answer (operation: string, outcome: unknown): AnswerOperator {
  return { kind: 'operator/answer', operation, outcome }
}
