/** Decisions of the operations slice: commands go to the leader, and its answers back to the operator. */
import type { CoreEffect, Effect, Moment, Step } from '../core/message.js'
import { sendPeer, setTimer, tell } from '../messages.js'
import type { Answered, Asked, OperationsMessage } from './messages.js'

/** How long a call waits for a leader that can answer it. */
const CALL_MS = 9_000
/** How long one leader may take before the command is sent again, under the same request id. */
const SEND_AGAIN_MS = 2_500
const RETRY_EVERY_MS = 100

/** An operator's call that is not answered yet. */
export interface PendingCall {
  readonly asked: Asked
  readonly untilMs: number
  /** When the command was last sent; undefined when a leader is to be found first. */
  readonly sentAtMs?: number
  /** Whether a leader may have taken the command. */
  readonly left: boolean
}

/** State of the operations slice. */
export interface OperationsState {
  readonly leader?: string
  readonly calls: ReadonlyMap<string, PendingCall>
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
  return { calls: new Map() }
}

/**
 * Decides on one message of the operations slice.
 * @example decideOperations(state, { kind: 'operations/leader-known', leader: 'host-1' }, moment)
 */
export function decideOperations (state: OperationsState, message: OperationsMessage, moment: Moment): OperationsStep {
  switch (message.kind) {
    case 'operations/leader-known': return learnLeader(state, message.leader, moment)
    case 'operations/answered': return takeAnswer(state, message)
    case 'operations/asked': return takeCall(state, message, moment)
    case 'operations/retry-due': return retry(state, moment)
  }
}

function takeCall (state: OperationsState, asked: Asked, moment: Moment): OperationsStep {
  const local = createLocalOrder(asked)
  if (local !== undefined) return { state, effects: [local] }
  const call: PendingCall = { asked, untilMs: moment.monotonicMs + CALL_MS, left: false }
  const timer = setTimer('operations/retry', RETRY_EVERY_MS, { kind: 'operations/retry-due' })
  const sent = sendDue({ ...state, calls: new Map(state.calls).set(asked.operation, call) }, moment)
  return { state: sent.state, effects: [timer, ...sent.effects] }
}

// A leader that was lost may have taken the command: the next one gets it under the same request id.
function learnLeader (state: OperationsState, leader: string | undefined, moment: Moment): OperationsStep {
  if (leader === state.leader) return { state, effects: [] }
  const calls = new Map([...state.calls].map(([operation, call]) => [operation, { ...call, sentAtMs: undefined }]))
  return sendDue({ leader, calls }, moment)
}

function takeAnswer (state: OperationsState, { operation, outcome }: Answered): OperationsStep {
  const call = state.calls.get(operation)
  const error = (outcome as { readonly error?: string } | undefined)?.error
  if (call !== undefined && (error === 'not-leader' || error === 'outcome-unknown')) {
    const waiting: PendingCall = { ...call, sentAtMs: undefined }
    return { state: { ...state, calls: new Map(state.calls).set(operation, waiting) }, effects: [] }
  }
  const calls = new Map(state.calls)
  calls.delete(operation)
  return { state: { ...state, calls }, effects: [{ kind: 'operator/answer', operation, outcome }] }
}

function retry (state: OperationsState, moment: Moment): OperationsStep {
  const ended = [...state.calls].filter(([, call]) => moment.monotonicMs >= call.untilMs)
  const calls = new Map([...state.calls].filter(([, call]) => moment.monotonicMs < call.untilMs))
  const answers = ended.map(([operation, call]): AnswerOperator => ({ kind: 'operator/answer', operation, outcome: createError(call) }))
  const sent = sendDue({ ...state, calls }, moment)
  const timer = calls.size === 0 ? [] : [setTimer('operations/retry', RETRY_EVERY_MS, { kind: 'operations/retry-due' })]
  return { state: sent.state, effects: [...answers, ...sent.effects, ...timer] }
}

function createError (call: PendingCall): { readonly error: string, readonly text: string } {
  return call.left
    ? { error: 'outcome-unknown', text: `No leader answered in time. Send the command again with the request id ${call.asked.requestId}.` }
    : { error: 'no-leader', text: 'No leader of the control hosts could be reached. The command was not taken.' }
}

function sendDue (state: OperationsState, moment: Moment): OperationsStep {
  const { leader } = state
  if (leader === undefined) return { state, effects: [] }
  const due = [...state.calls].filter(([, call]) => call.sentAtMs === undefined || moment.monotonicMs - call.sentAtMs >= SEND_AGAIN_MS)
  if (due.length === 0) return { state, effects: [] }
  const calls = new Map(state.calls)
  for (const [operation, call] of due) calls.set(operation, { ...call, sentAtMs: moment.monotonicMs, left: true })
  return { state: { ...state, calls }, effects: due.map(([, call]) => send(leader, call.asked)) }
}

// Commands that the called host itself answers, or passes on to the hosts that they are about.
function createLocalOrder ({ operation, command }: Asked): CoreEffect | undefined {
  switch (command.name) {
    case 'control/status': return tell({ kind: 'agreement/status-asked', operation })
    case 'status': return command.local ? tell({ kind: 'membership/status-asked', operation }) : undefined
    case 'host/drain': return tell({ kind: 'membership/drain-asked', operation, host: command.host })
    case 'timeline/read': return tell({ kind: 'timeline/read', operation, query: command })
    default: return undefined
  }
}

function send (leader: string, asked: Asked): CoreEffect {
  const { operation, requestId, command } = asked
  switch (command.name) {
    case 'document/apply': return sendPeer(leader, { kind: 'documents/apply', operation, requestId, text: command.text, version: command.version, wait: command.wait })
    case 'configuration/replace': return sendPeer(leader, { kind: 'documents/replace-asked', operation, version: command.version, text: command.text, document: command.document })
    case 'configuration/read': return sendPeer(leader, { kind: 'documents/read-asked', operation, service: command.service })
    case 'document/show': return sendPeer(leader, { kind: 'documents/ask', operation, service: command.service, about: 'text' })
    case 'document/status': return sendPeer(leader, { kind: 'documents/ask', operation, service: command.service, about: 'force' })
    case 'document/list': return sendPeer(leader, { kind: 'documents/ask', operation, about: 'text' })
    case 'primary/move': return sendPeer(leader, { kind: 'primacy/move', operation, group: command.group, database: command.database })
    case 'status': return sendPeer(leader, { kind: 'membership/status-asked', operation })
    case 'control/status':
    case 'host/drain':
    case 'timeline/read': return createLocalOrder(asked)!
  }
}
