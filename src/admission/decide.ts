/** Decisions of the admission slice: who may call, on which route, at what rate. */
import { Result } from 'true-myth'
import { createFailure, type Failure } from '../core/errors.js'
import type { CoreEffect, Moment } from '../core/message.js'
import type { DocumentEntry } from '../membership/directory.js'
import type { ServiceDocument, Workspace } from '../documents/document.js'
import type { RouteRules } from '../requests/messages.js'
import { addCaller, checkCallers, dropCaller, type Checked, type KeyedCallers } from './callers.js'
import { holdsKey } from './keys.js'
import { askShares, followLeader, takeShares } from './lease.js'
import type { AdmissionMessage, CallerClosed, CheckOpen, CheckRequest, DocumentsConfirmed } from './messages.js'
import { admit, endOverdue, takeLent, takeToken, type AdmissionStep, type AdmissionStore } from './rates.js'
import type { AdmissionShared } from './state.js'
import { tell } from '../messages.js'

interface Permission {
  readonly rules: RouteRules
  readonly workspace?: Workspace
}

/**
 * Decides on one message of the admission slice.
 * @example decideAdmission(store, { kind: 'admission/check-open', caller: 'c1', service: 'rota' }, moment)
 */
export function decideAdmission (store: AdmissionStore, message: AdmissionMessage, moment: Moment): AdmissionStep {
  switch (message.kind) {
    case 'admission/check-open': return checkOpen(store.shared, message, moment)
    case 'admission/check-request': return checkRequest(store, message, moment)
    case 'admission/documents-confirmed': return takeDocuments(store, message)
    case 'admission/caller-closed': return closeCaller(store.shared, message)
    case 'admission/leader-changed': return followLeader(store, message, moment)
    case 'admission/ask-due': return askShares(store, moment)
    case 'admission/shares-answered': return takeShares(store, message, moment)
    case 'admission/lent': return takeLent(store, message, moment)
    case 'admission/loan-overdue': return endOverdue(store, message, moment)
  }
}

// A document in force never goes back to an earlier version. A leader that does not yet
// hold all that this host holds can't confirm it either.
function takeDocuments ({ shared }: AdmissionStore, message: DocumentsConfirmed): AdmissionStep {
  const received = new Map((message.documents ?? []).map(entry => [entry.service, entry]))
  const complete = message.documents === undefined
    ? shared.complete
    : [...shared.documents.values()].every(known => (received.get(known.service)?.version ?? 0) >= known.version)
  const confirmedAtMs = complete ? Math.max(shared.confirmedAtMs ?? message.askedAtMs, message.askedAtMs) : shared.confirmedAtMs
  const changed = [...received.values()].filter(entry => entry.version > (shared.documents.get(entry.service)?.version ?? 0))
  if (changed.length === 0) return { shared: { ...shared, complete, confirmedAtMs }, effects: [] }
  const documents = new Map([...shared.documents, ...changed.map(entry => [entry.service, entry] as const)])
  const checked = checkChanged(shared.callers, changed)
  const limits = changed.map(entry => tellLimits(entry.service, entry.document.workspaces))
  return { shared: { ...shared, documents, complete, confirmedAtMs, callers: checked.callers }, effects: [...limits, ...checked.effects] }
}

function checkChanged (callers: KeyedCallers, changed: readonly DocumentEntry[]): Checked {
  return changed.reduce<Checked>((left, { service, document }) => {
    const next = checkCallers(left.callers, service, document)
    return { callers: next.callers, effects: [...left.effects, ...next.effects] }
  }, { callers, effects: [] })
}

function closeCaller (shared: AdmissionShared, message: CallerClosed): AdmissionStep {
  return { shared: { ...shared, callers: dropCaller(shared.callers, message.service, message.caller) }, effects: [] }
}

function tellLimits (service: string, workspaces: readonly Workspace[]): CoreEffect {
  const limits = workspaces.map(({ name, rate, burst }) => ({ workspace: `${service}/${name}`, rate, burst }))
  return tell({ kind: 'shares/limits-changed', service, limits })
}

function checkOpen (shared: AdmissionShared, message: CheckOpen, moment: Moment): AdmissionStep {
  const { caller, service, workspace, keyHash } = message
  const failure = findOpenFailure(shared, message, moment)
  const effects = [tell({ kind: 'requests/open-checked', caller, failure })]
  if (failure !== undefined || workspace === undefined || keyHash === undefined) return { effects }
  return { shared: { ...shared, callers: addCaller(shared.callers, service, { caller, workspace, keyHash }) }, effects }
}

function findOpenFailure (shared: AdmissionShared, message: CheckOpen, moment: Moment): Failure | undefined {
  const document = shared.documents.get(message.service)?.document
  if (document === undefined) return createFailure('unknown-service', message.service)
  if (message.workspace === undefined) return undefined
  return checkKey(shared, document, message.workspace, message.keyHash, moment).match({ Ok: () => undefined, Err: failure => failure })
}

function checkKey (shared: AdmissionShared, document: ServiceDocument, name: string, keyHash: string | undefined, moment: Moment): Result<Workspace, Failure> {
  if (!hasAuthority(shared, document, moment)) return Result.err(createFailure('no-authority'))
  const workspace = document.workspaces.find(candidate => candidate.name === name)
  if (workspace === undefined) return Result.err(createFailure('unknown-workspace', name))
  if (keyHash === undefined || !holdsKey(workspace, keyHash)) return Result.err(createFailure('wrong-key', name))
  return Result.ok(workspace)
}

function hasAuthority (shared: AdmissionShared, document: ServiceDocument, moment: Moment): boolean {
  return shared.confirmedAtMs !== undefined && moment.monotonicMs - shared.confirmedAtMs <= document.authorityLeaseMs
}

function checkRequest (store: AdmissionStore, message: CheckRequest, moment: Moment): AdmissionStep {
  const permission = findPermission(store.shared, message, moment)
  if (permission.isErr) return refuse(message, permission.error)
  const { rules, workspace } = permission.value
  if (workspace === undefined || message.inTransaction) return { effects: [admit(message, rules)] }
  return takeToken(store, message.service, workspace, { caller: message.caller, attempt: message.attempt, rules, sinceMs: moment.monotonicMs }, moment)
}

// What runs in a workspace's transaction needs its key, whichever route it names.
function isKeyedTransaction (message: CheckRequest): boolean {
  return message.inTransaction && message.workspace !== undefined
}

function findPermission (shared: AdmissionShared, message: CheckRequest, moment: Moment): Result<Permission, Failure> {
  const document = shared.documents.get(message.service)?.document
  if (document === undefined) return Result.err(createFailure('unknown-service', message.service))
  const route = message.route === undefined ? undefined : document.routes.find(candidate => candidate.name === message.route)
  if (message.route !== undefined && route === undefined) return Result.err(createFailure('unknown-route', message.route))
  if (route?.access === 'open' && !isKeyedTransaction(message)) {
    return Result.ok({ rules: { group: route.group!, action: route.action, maxStalenessMs: route.maxStalenessMs, idempotent: route.idempotent, open: true } })
  }
  if (message.workspace === undefined) return Result.err(createFailure('key-needed', message.route ?? ''))
  return checkKey(shared, document, message.workspace, message.keyHash, moment).map(workspace => ({
    workspace,
    rules: {
      group: route?.group ?? workspace.group,
      action: route?.action ?? message.action,
      maxStalenessMs: route?.maxStalenessMs ?? 0,
      idempotent: route?.idempotent ?? false
    }
  }))
}

function refuse (message: CheckRequest, failure: Failure): AdmissionStep {
  return { effects: [tell({ kind: 'requests/failed', caller: message.caller, attempt: message.attempt, failure })] }
}
