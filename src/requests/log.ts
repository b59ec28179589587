/** Log lines about requests: one when a request ends, and one for each attempt that is retried. */
import type { Failure } from '../core/errors.js'
import { writeLog, type CoreEffect, type Moment } from '../core/message.js'
import type { OwnerReport, RequestsMessage, RequestUnanswered } from './messages.js'
import type { Caller, InFlightRequest, OpenTransaction } from './state.js'
import type { RequestsEffect, RequestsStep, RequestsStore } from './step.js'

/**
 * Adds the log lines for all requests that a step ends or retries.
 * @example logRequests(store, message, decideMessage(store, message, moment), moment)
 */
export function logRequests (store: RequestsStore, message: RequestsMessage, step: RequestsStep, moment: Moment): RequestsStep {
  const lines = (step.changes ?? []).flatMap(([name, after]) => {
    const before = store.items.get(name)
    if (before === undefined) return []
    const changeLines = before.running === undefined ? [] : createChangeLines(before, before.running, after, step.effects, message, moment)
    return [...changeLines, ...createEndLines(before, step.effects, message)]
  })
  return lines.length === 0 ? step : { ...step, effects: [...step.effects, ...lines] }
}

/**
 * Creates the log line for an idle transaction that a stop ends.
 * @example logCutTransaction(caller, transaction)
 */
export function logCutTransaction ({ caller, workspace }: Caller, { target, rules, phase }: OpenTransaction): CoreEffect {
  const { database, owner, purpose } = target
  return writeLog('warn', `The idle transaction of caller ${caller} was cut off by the stop.`, { caller, workspace, group: rules.group, database, owner, purpose, phase })
}

/**
 * Creates the log line for a request that arrived after the end of its connection.
 * @example logUnanswered({ kind: 'requests/unanswered', caller: 'c1', requestId: 'q1' })
 */
export function logUnanswered ({ caller, requestId }: RequestUnanswered): CoreEffect {
  return writeLog('warn', `Request ${requestId ?? 'without an id'} arrived after the end of its connection.`, { event: 'request-unanswered', request: requestId, caller })
}

// Tells a connection that ended in a transaction, or behind a request, from one that ended while its caller waited for nothing.
function createEndLines (before: Caller, effects: readonly RequestsEffect[], message: RequestsMessage): readonly CoreEffect[] {
  const refused = effects.find(effect => effect.kind === 'caller/refused' && effect.caller === before.caller)
  if (!before.open || refused?.kind !== 'caller/refused') return []
  const { caller, workspace, running, transaction } = before
  return [writeLog('info', `The connection of caller ${caller} was ended.`, {
    event: 'connection-ended',
    caller,
    workspace,
    request: message.kind === 'requests/arrived' ? message.input.requestId : running?.input.requestId,
    phase: running?.phase,
    transaction: transaction?.phase ?? 'none',
    reason: refused.failure.code
  })]
}

function createChangeLines (caller: Caller, running: InFlightRequest, after: Caller | undefined, effects: readonly RequestsEffect[], message: RequestsMessage, moment: Moment): readonly CoreEffect[] {
  if (after?.running?.request === running.request) {
    if (after.running.attempt === running.attempt) return []
    return [createLine(caller, running, 'tried again', moment, message.kind === 'requests/failed' ? message.failure : undefined)]
  }
  const failed = effects.find(effect => effect.kind === 'caller/failed' && effect.caller === caller.caller)
  if (failed?.kind === 'caller/failed') return [createLine(caller, running, 'failed', moment, failed.failure)]
  const ended = effects.find(effect => (effect.kind === 'caller/finished' || effect.kind === 'caller/rolled-back') && effect.caller === caller.caller)
  const report = message.kind === 'requests/finished' ? message : undefined
  return [createLine(caller, running, ended === undefined ? 'abandoned by its caller' : 'answered', moment, undefined, report)]
}

function createLine (caller: Caller, running: InFlightRequest, outcome: string, moment: Moment, failure?: Failure, report?: OwnerReport): CoreEffect {
  const { target, rules, input, startedAtMs, admittedAtMs, sentAtMs } = running
  return writeLog(failure === undefined ? 'info' : 'warn', `Request ${input.requestId ?? running.request} was ${outcome}.`, {
    request: input.requestId,
    caller: caller.caller,
    workspace: caller.workspace,
    route: input.route,
    intent: input.intent,
    action: rules?.action,
    group: rules?.group,
    database: target?.database,
    owner: target?.owner,
    purpose: target?.purpose,
    left: target?.left,
    floor: target === undefined || target.bound !== undefined ? undefined : `${target.floor.term}.${target.floor.offset}`,
    maxStalenessMs: target?.bound?.maxStalenessMs,
    attempt: running.attempt - running.request + 1,
    avoided: running.excluded.length === 0 ? undefined : running.excluded,
    phase: running.phase,
    elapsedMs: Math.round(moment.monotonicMs - running.startedAtMs),
    admittedMs: admittedAtMs === undefined ? undefined : Math.round(admittedAtMs - startedAtMs),
    sentMs: sentAtMs === undefined ? undefined : Math.round(sentAtMs - startedAtMs),
    waitedMs: report?.waitedMs,
    ranMs: report?.ranMs,
    leftMs: Math.round(running.deadlineAtMs - moment.monotonicMs),
    failure: failure?.code,
    effect: failure?.effect,
    reason: failure?.text,
    ...failure?.inputs
  })
}
