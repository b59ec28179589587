/** Decisions of the admission slice: authentication, authorization of routes, and rate limits. */
import { Result } from 'true-myth'
import { createFailure, type Failure } from '../core/errors.js'
import { recordEvent, type CoreEffect, type Moment } from '../core/message.js'
import type { DocumentEntry } from '../membership/directory.js'
import { mergeHomes } from '../homes/homes.js'
import type { Route, ServiceDocument, Workspace } from '../documents/document.js'
import type { RouteRules } from '../requests/messages.js'
import { addCaller, removeCaller, reportWithdrawnKeys } from './callers.js'
import { createIndex, type DocumentIndex } from './documentindex.js'
import { matchesKey } from './keys.js'
import { updateLends } from './lending.js'
import { applyShares, changeLeader, changeLenders, renewLease } from './lease.js'
import type { AdmissionMessage, CallerDisconnected, CheckConnection, CheckRequest, DocumentsConfirmed, VersionsHeld } from './messages.js'
import { UNCHANGED } from '../core/store.js'
import { acceptLoan, acquireToken, expireLoan, acceptLoanRequest, retryWaiting, type AdmissionStep, type AdmissionStore } from './rates.js'
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
    case 'admission/check-open': return checkConnection(store.shared, message, moment)
    case 'admission/check-request': return checkRequest(store, message, moment)
    case 'admission/documents-confirmed': return updateDocuments(store, message, moment)
    case 'admission/versions-held': return acceptVersions(store.shared, message)
    case 'admission/contact-changed': return { shared: { ...store.shared, isolated: message.isolated }, effects: [] }
    case 'admission/caller-closed': return handleDisconnect(store.shared, message)
    case 'admission/leader-changed': return changeLeader(store, message, moment)
    case 'admission/ask-due': return renewLease(store, moment)
    case 'admission/shares-answered': return applyShares(store, message, moment)
    case 'admission/lenders-changed': return changeLenders(store.shared, message, moment)
    case 'admission/loan-wanted': return acceptLoanRequest(store, message, moment)
    case 'admission/lent': return acceptLoan(store, message, moment)
    case 'admission/loan-overdue': return expireLoan(store, message, moment)
    case 'admission/tokens-due': return retryWaiting(store, message, moment)
  }
}

// Document versions only increase. A leader that lacks a document version which this host
// already has can't confirm this host's documents.
function updateDocuments ({ shared }: AdmissionStore, message: DocumentsConfirmed, moment: Moment): AdmissionStep {
  const received = new Map((message.documents ?? []).map(entry => [entry.service, entry]))
  const leaderIsCurrent = message.documents === undefined
    ? shared.leaderIsCurrent
    : [...shared.documents.values()].every(known => (received.get(known.service)?.version ?? 0) >= known.version)
  const confirmedAtMs = leaderIsCurrent ? Math.max(shared.confirmedAtMs ?? message.askedAtMs, message.askedAtMs) : shared.confirmedAtMs
  const changed = [...received.values()].filter(entry => entry.version > (shared.documents.get(entry.service)?.version ?? 0))
  if (changed.length === 0) return { shared: { ...shared, leaderIsCurrent, confirmedAtMs }, effects: [] }
  const documents = new Map([...shared.documents, ...changed.map(entry => [entry.service, entry] as const)])
  const withdrawn = changed.flatMap(entry => reportWithdrawnKeys(shared.callers, entry.service, entry.document))
  const limits = changed.map(entry => publishLimits(entry.service, entry.document.workspaces))
  const events = changed.map(entry => createInForceEvent(shared, entry, message.askedAtMs, moment))
  const indexes = new Map([...shared.indexes, ...changed.map(entry => [entry.service, createIndex(entry.document)] as const)])
  return { shared: updateLends({ ...shared, documents, indexes, leaderIsCurrent, confirmedAtMs }), effects: [...limits, ...withdrawn, ...events] }
}

function createInForceEvent ({ documents }: AdmissionShared, { service, version }: DocumentEntry, askedAtMs: number, { monotonicMs }: Moment): CoreEffect {
  const before = documents.get(service)?.version ?? 0
  return recordEvent('document-in-force', `Version ${version} of ${service} is in force on this host after version ${before}, by an answer that took ${Math.round(monotonicMs - askedAtMs)} ms.`)
}

// Without a leader, the control hosts confirm the documents of a host that holds the newest ones. Where authority is leased,
// the leader alone does: it tells operators when a lease has surely ended, and knows of no other confirmation.
function acceptVersions (shared: AdmissionShared, { versions, askedAtMs }: VersionsHeld): AdmissionStep {
  const isCurrent = versions.every(({ service, version }) => (shared.documents.get(service)?.version ?? 0) >= version)
  if (!shared.servesWhenIsolated || !isCurrent || shared.confirmedAtMs === undefined) return UNCHANGED
  return { shared: { ...shared, confirmedAtMs: Math.max(shared.confirmedAtMs, askedAtMs) }, effects: [] }
}

function handleDisconnect (shared: AdmissionShared, message: CallerDisconnected): AdmissionStep {
  return { shared: { ...shared, callers: removeCaller(shared.callers, message.service, message.caller) }, effects: [] }
}

function publishLimits (service: string, workspaces: readonly Workspace[]): CoreEffect {
  const limits = workspaces.map(({ name, rate, burst }) => ({ workspace: `${service}/${name}`, rate, burst }))
  return tell({ kind: 'shares/limits-changed', service, limits })
}

function checkConnection (shared: AdmissionShared, message: CheckConnection, moment: Moment): AdmissionStep {
  const { caller, service, keyHash } = message
  const checked = checkCaller(shared, message, moment)
  const failure = checked.isErr ? checked.error : undefined
  const workspace = checked.isOk ? checked.value?.name : undefined
  const effects = [tell({ kind: 'requests/open-checked', caller, workspace, failure })]
  if (workspace === undefined || keyHash === undefined) return { effects }
  return { shared: { ...shared, callers: addCaller(shared.callers, service, { caller, workspace, keyHash }) }, effects }
}

// A caller of an open route belongs to no workspace, even if it sends a key.
function checkCaller (shared: AdmissionShared, message: CheckConnection, moment: Moment): Result<Workspace | undefined, Failure> {
  const index = shared.indexes.get(message.service)
  if (index === undefined) return Result.err(createUnknownServiceFailure(shared, message.service))
  if (isPossiblyOutdated(shared, index.document, moment)) return Result.err(createFailure('no-authority'))
  const route = message.route === undefined ? undefined : index.routes.get(message.route)
  if (message.route !== undefined && route === undefined) return Result.err(createFailure('unknown-route', message.route))
  if (route?.access === 'open') return Result.ok(undefined)
  if (message.workspace === undefined && message.keyHash === undefined) return message.route === undefined ? Result.ok(undefined) : Result.err(createFailure('key-needed', message.route))
  const name = message.workspace ?? index.workspacesByKeyHash.get(message.keyHash!)?.name ?? ''
  return checkKey(shared, index, name, message.keyHash, moment)
}

// Before the first confirmation a host can't tell an unknown service from a document that it has not received.
function createUnknownServiceFailure (shared: AdmissionShared, service: string): Failure {
  return shared.confirmedAtMs === undefined ? createFailure('no-authority') : createFailure('unknown-service', service)
}

function checkKey (shared: AdmissionShared, index: DocumentIndex, name: string, keyHash: string | undefined, moment: Moment): Result<Workspace, Failure> {
  if (!hasAuthority(shared, index.document, moment)) return Result.err(createFailure('no-authority'))
  const workspace = index.workspaces.get(name)
  if (workspace === undefined) return Result.err(createFailure('unknown-workspace', name))
  if (keyHash === undefined || !matchesKey(workspace, keyHash)) return Result.err(createFailure('wrong-key', name))
  return Result.ok(workspace)
}

function hasAuthority ({ confirmedAtMs, servesWhenIsolated, isolated }: AdmissionShared, document: ServiceDocument, moment: Moment): boolean {
  if (confirmedAtMs === undefined) return false
  return moment.monotonicMs - confirmedAtMs <= document.authorityLeaseMs || (servesWhenIsolated && isolated)
}

// A host that may go on when it is isolated, is not, and still goes unconfirmed may have missed a change of any route.
function isPossiblyOutdated (shared: AdmissionShared, document: ServiceDocument, moment: Moment): boolean {
  return shared.servesWhenIsolated && !hasAuthority(shared, document, moment)
}

function checkRequest (store: AdmissionStore, message: CheckRequest, moment: Moment): AdmissionStep {
  const permission = findPermission(store.shared, message, moment)
  if (permission.isErr) return refuseRequest(message, permission.error)
  const { rules, workspace } = permission.value
  if (workspace === undefined || message.inTransaction) return { effects: [tell({ kind: 'requests/admitted', caller: message.caller, attempt: message.attempt, rules })] }
  return acquireToken(store, message.service, workspace, { caller: message.caller, attempt: message.attempt, rules, sinceMs: moment.monotonicMs }, moment)
}

// A request inside a workspace's transaction needs the workspace's key on any route.
function isKeyedTransaction (message: CheckRequest): boolean {
  return message.inTransaction && message.workspace !== undefined
}

function findPermission (shared: AdmissionShared, message: CheckRequest, moment: Moment): Result<Permission, Failure> {
  const index = shared.indexes.get(message.service)
  if (index === undefined) return Result.err(createUnknownServiceFailure(shared, message.service))
  if (isPossiblyOutdated(shared, index.document, moment)) return Result.err(createFailure('no-authority'))
  const route = message.route === undefined ? undefined : index.routes.get(message.route)
  if (message.route !== undefined && route === undefined) return Result.err(createFailure('unknown-route', message.route))
  if (route?.access === 'open' && !isKeyedTransaction(message)) {
    return Result.ok({ rules: { ...createRules(route, route.group!, message, route.homes), open: true } })
  }
  if (message.workspace === undefined) return Result.err(createFailure('key-needed', message.route ?? ''))
  return checkKey(shared, index, message.workspace, message.keyHash, moment).map(workspace => ({
    workspace,
    rules: createRules(route, route?.group ?? workspace.group, message, mergeHomes(route?.homes, workspace.homes))
  }))
}

function createRules (route: Route | undefined, group: string, message: CheckRequest, homes: readonly string[] | undefined): RouteRules {
  const { timeoutMs, idleTransactionMs, priority, latencyMs } = route ?? {}
  return {
    group,
    action: route === undefined || route.action === 'either' ? message.action : route.action,
    maxStalenessMs: route?.maxStalenessMs ?? 0,
    idempotent: route?.idempotent ?? false,
    timeoutMs,
    idleTransactionMs,
    priority,
    latencyMs,
    homes
  }
}

function refuseRequest (message: CheckRequest, failure: Failure): AdmissionStep {
  return { effects: [tell({ kind: 'requests/failed', caller: message.caller, attempt: message.attempt, failure })] }
}
