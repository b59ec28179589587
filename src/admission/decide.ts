/** Decisions of the admission slice: who may call, on which route, at what rate. */
import { Result } from 'true-myth'
import { createFailure, type Failure } from '../core/errors.js'
import type { CoreEffect, Moment } from '../core/message.js'
import type { ServiceDocument, Workspace } from '../documents/document.js'
import type { RouteRules } from '../requests/messages.js'
import { holdsKey } from './keys.js'
import { askShares, followLeader, takeShares } from './lease.js'
import type { AdmissionMessage, CheckOpen, CheckRequest, DocumentsConfirmed } from './messages.js'
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
    case 'admission/leader-changed': return followLeader(store, message, moment)
    case 'admission/ask-due': return askShares(store, moment)
    case 'admission/shares-answered': return takeShares(store, message, moment)
    case 'admission/lent': return takeLent(store, message, moment)
    case 'admission/loan-overdue': return endOverdue(store, message, moment)
  }
}

function takeDocuments (store: AdmissionStore, message: DocumentsConfirmed): AdmissionStep {
  const { shared } = store
  const confirmedAtMs = Math.max(shared.confirmedAtMs ?? message.askedAtMs, message.askedAtMs)
  if (message.documents === undefined) return { shared: { ...shared, confirmedAtMs }, effects: [] }
  const documents = new Map(message.documents.map(entry => [entry.service, entry]))
  const changed = message.documents.filter(entry => shared.documents.get(entry.service)?.version !== entry.version)
  const gone = [...shared.documents.keys()].filter(service => !documents.has(service))
  return {
    shared: { ...shared, documents, confirmedAtMs },
    effects: [...changed.map(entry => tellLimits(entry.service, entry.document.workspaces)), ...gone.map(service => tellLimits(service, []))]
  }
}

function tellLimits (service: string, workspaces: readonly Workspace[]): CoreEffect {
  const limits = workspaces.map(({ name, rate, burst }) => ({ workspace: `${service}/${name}`, rate, burst }))
  return tell({ kind: 'shares/limits-changed', service, limits })
}

function checkOpen (shared: AdmissionShared, message: CheckOpen, moment: Moment): AdmissionStep {
  const failure = findOpenFailure(shared, message, moment)
  return { effects: [tell({ kind: 'requests/open-checked', caller: message.caller, failure })] }
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
  return takeToken(store, message.service, workspace, { caller: message.caller, attempt: message.attempt, rules }, moment)
}

function findPermission (shared: AdmissionShared, message: CheckRequest, moment: Moment): Result<Permission, Failure> {
  const document = shared.documents.get(message.service)?.document
  if (document === undefined) return Result.err(createFailure('unknown-service', message.service))
  const route = message.route === undefined ? undefined : document.routes.find(candidate => candidate.name === message.route)
  if (message.route !== undefined && route === undefined) return Result.err(createFailure('unknown-route', message.route))
  if (route?.access === 'open') {
    return Result.ok({ rules: { group: route.group!, action: route.action, maxStalenessMs: route.maxStalenessMs, idempotent: route.idempotent } })
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
