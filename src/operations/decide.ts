/** Decisions of the operations slice: forwards operators' commands to the leader, or reads to a control host, and the answers to the operators. */
import type { CoreEffect, Effect, Moment, Step } from '../core/message.js'
import { rankCandidates } from '../core/rendezvous.js'
import { sendPeer, setTimer, tell } from '../messages.js'
import type { CommandAnswered, CommandRequest, OperationsMessage } from './messages.js'

/** How long a call waits until a leader is found and has answered. */
const CALL_TIMEOUT_MS = 9_000
/** How long a leader may take before the command is resent with the same request id. */
const RESEND_AFTER_MS = 2_500
/** How long a control host may take for a read before the next one is asked. */
const READ_RESEND_AFTER_MS = 300
const RETRY_INTERVAL_MS = 100

/** An operator's call without an answer. */
export interface PendingCall {
  readonly request: CommandRequest
  readonly deadlineMs: number
  /** When the command was last sent; undefined while it waits for a leader. */
  readonly sentAtMs?: number
  /** Whether the command was sent to a leader, which may have executed it. */
  readonly wasSent: boolean
  /** The last order on the failure domain that this host knew when the command came; 0 for other commands. */
  readonly after: number
  /** How often it was sent. */
  readonly attempts: number
}

/** State of the operations slice. */
export interface OperationsState {
  readonly leader?: string
  readonly control: readonly string[]
  /** The last order on each failure domain, by number. */
  readonly orders: ReadonlyMap<string, number>
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
 * Creates the state of a host that knows no leader yet.
 * @example createOperationsState().leader // undefined
 */
export function createOperationsState (): OperationsState {
  return { control: [], orders: new Map(), calls: new Map() }
}

/**
 * Decides on one message of the operations slice.
 * @example decideOperations(state, { kind: 'operations/leader-known', leader: 'host-1' }, moment)
 */
export function decideOperations (state: OperationsState, message: OperationsMessage, moment: Moment): OperationsStep {
  switch (message.kind) {
    case 'operations/leader-known': return handleLeaderChange(state, message.leader, moment)
    case 'operations/answered': return handleAnswer(state, message)
    case 'operations/asked': return startCall(state, message, moment)
    case 'operations/control-known': return sendDueCalls({ ...state, control: message.control }, moment)
    case 'operations/orders-known': return { state: { ...state, orders: message.orders }, effects: [] }
    case 'operations/retry-due': return retryCalls(state, moment)
  }
}

function startCall (state: OperationsState, request: CommandRequest, moment: Moment): OperationsStep {
  const localEffect = createLocalEffect(request)
  if (localEffect !== undefined) return { state, effects: [localEffect] }
  const call: PendingCall = { request, deadlineMs: moment.monotonicMs + CALL_TIMEOUT_MS, wasSent: false, after: findLastOrder(state, request), attempts: 0 }
  const timer = setTimer('operations/retry', RETRY_INTERVAL_MS, { kind: 'operations/retry-due' })
  const sent = sendDueCalls({ ...state, calls: new Map(state.calls).set(request.operation, call) }, moment)
  return { state: sent.state, effects: [timer, ...sent.effects] }
}

function findLastOrder ({ orders }: OperationsState, { command }: CommandRequest): number {
  return 'domain' in command ? orders.get(command.domain) ?? 0 : 0
}

// The previous leader may have executed a command, so it is resent to the next leader with the same request id.
function handleLeaderChange (state: OperationsState, leader: string | undefined, moment: Moment): OperationsStep {
  if (leader === state.leader) return { state, effects: [] }
  const calls = new Map([...state.calls].map(([operation, call]) => [operation, isRead(call) ? call : { ...call, sentAtMs: undefined }]))
  return sendDueCalls({ ...state, leader, calls }, moment)
}

function handleAnswer (state: OperationsState, { operation, outcome }: CommandAnswered): OperationsStep {
  const call = state.calls.get(operation)
  const error = (outcome as { readonly error?: string } | undefined)?.error
  if (call !== undefined && (error === 'not-leader' || error === 'outcome-unknown' || error === 'not-ready')) {
    const unsent: PendingCall = { ...call, sentAtMs: undefined }
    return { state: { ...state, calls: new Map(state.calls).set(operation, unsent) }, effects: [] }
  }
  const calls = new Map(state.calls)
  calls.delete(operation)
  return { state: { ...state, calls }, effects: [{ kind: 'operator/answer', operation, outcome }] }
}

function retryCalls (state: OperationsState, moment: Moment): OperationsStep {
  const expired = [...state.calls].filter(([, call]) => moment.monotonicMs >= call.deadlineMs)
  const calls = new Map([...state.calls].filter(([, call]) => moment.monotonicMs < call.deadlineMs))
  const answers = expired.map(([operation, call]): AnswerOperator => ({ kind: 'operator/answer', operation, outcome: createTimeoutError(call) }))
  const sent = sendDueCalls({ ...state, calls }, moment)
  const timer = calls.size === 0 ? [] : [setTimer('operations/retry', RETRY_INTERVAL_MS, { kind: 'operations/retry-due' })]
  return { state: sent.state, effects: [...answers, ...sent.effects, ...timer] }
}

function createTimeoutError (call: PendingCall): { readonly error: string, readonly text: string } {
  return call.wasSent
    ? { error: 'outcome-unknown', text: `No leader answered before the deadline. Retry the command with the request id ${call.request.requestId}.` }
    : { error: 'no-leader', text: 'No leader of the control hosts could be reached, and the command was not executed. Try again once the control hosts have a leader.' }
}

function sendDueCalls (state: OperationsState, moment: Moment): OperationsStep {
  const due = [...state.calls].flatMap(([operation, call]) => {
    const target = isDue(call, moment) ? findTarget(state, call) : undefined
    return target === undefined ? [] : [{ operation, call, target }]
  })
  if (due.length === 0) return { state, effects: [] }
  const calls = new Map(state.calls)
  for (const { operation, call } of due) calls.set(operation, { ...call, sentAtMs: moment.monotonicMs, wasSent: true, attempts: call.attempts + 1 })
  return { state: { ...state, calls }, effects: due.map(({ target, call }) => sendCommand(target, call)) }
}

function isDue (call: PendingCall, { monotonicMs }: Moment): boolean {
  return call.sentAtMs === undefined || monotonicMs - call.sentAtMs >= (isRead(call) ? READ_RESEND_AFTER_MS : RESEND_AFTER_MS)
}

// Any control host answers a read, so the next one is asked while one is late.
function findTarget ({ leader, control }: OperationsState, call: PendingCall): string | undefined {
  if (!isRead(call) || control.length === 0) return leader
  return rankCandidates(call.request.requestId, control)[call.attempts % control.length]
}

function isRead ({ request }: PendingCall): boolean {
  return request.command.name === 'configuration/read'
}

// Commands that the called host answers itself, or forwards to the hosts that they concern.
function createLocalEffect ({ operation, command }: CommandRequest): CoreEffect | undefined {
  switch (command.name) {
    case 'control/status': return tell({ kind: 'agreement/status-asked', operation })
    case 'status': return command.local ? tell({ kind: 'membership/status-asked', operation }) : undefined
    case 'host/drain': return tell({ kind: 'membership/drain-asked', operation, host: command.host })
    case 'timeline/read': return tell({ kind: 'timeline/read', operation, query: command })
    default: return undefined
  }
}

function sendCommand (target: string, { request, after }: PendingCall): CoreEffect {
  const { operation, requestId, command } = request
  switch (command.name) {
    case 'document/apply': return sendPeer(target, { kind: 'documents/apply', operation, requestId, text: command.text, version: command.version, wait: command.wait })
    case 'configuration/replace': return sendPeer(target, { kind: 'documents/replace-asked', operation, version: command.version, text: command.text, document: command.document })
    case 'configuration/read': return sendPeer(target, { kind: 'documents/read-asked', operation, service: command.service })
    case 'document/show': return sendPeer(target, { kind: 'documents/ask', operation, service: command.service, about: 'text' })
    case 'document/status': return sendPeer(target, { kind: 'documents/ask', operation, service: command.service, about: 'force' })
    case 'document/list': return sendPeer(target, { kind: 'documents/ask', operation, about: 'text' })
    case 'primary/move': return sendPeer(target, { kind: 'primacy/move', operation, group: command.group, database: command.database })
    case 'evacuation/begin':
    case 'evacuation/end': return sendPeer(target, { kind: 'evacuation/ask', operation, requestId, domain: command.domain, evacuated: command.name === 'evacuation/begin', after })
    case 'status': return sendPeer(target, { kind: 'membership/status-asked', operation })
    case 'control/status':
    case 'host/drain':
    case 'timeline/read': return createLocalEffect(request)!
  }
}
