/** Decisions of the admission slice: who may call, on which route, at what rate. */
import { Result } from 'true-myth'
import { createFailure, type Failure } from '../core/errors.js'
import type { CoreEffect, Moment } from '../core/message.js'
import { UNCHANGED, type Store, type StoreStep } from '../core/store.js'
import type { ServiceDocument, Workspace } from '../documents/document.js'
import type { RouteRules } from '../requests/messages.js'
import { createBucket, resizeBucket, type Bucket } from './bucket.js'
import { holdsKey } from './keys.js'
import type { AdmissionMessage, CheckOpen, CheckRequest, DocumentsConfirmed } from './messages.js'
import { tell } from '../messages.js'

/** What admission knows of all services. */
export interface AdmissionShared {
  readonly documents: ReadonlyMap<string, ServiceDocument>
  /** When this host last asked and was confirmed; undefined before the first time. */
  readonly confirmedAtMs?: number
  readonly hosts: number
}

type AdmissionStore = Store<AdmissionShared, Bucket>
type AdmissionStep = StoreStep<AdmissionShared, Bucket, CoreEffect>

interface Permission {
  readonly rules: RouteRules
  readonly workspace?: Workspace
}

/**
 * Creates the facts of a host that knows no document.
 * @example createAdmissionShared().documents.size // 0
 */
export function createAdmissionShared (): AdmissionShared {
  return { documents: new Map(), hosts: 1 }
}

/**
 * Decides on one message of the admission slice.
 * @example decideAdmission(store, { kind: 'admission/check-open', caller: 'c1', service: 'rota' }, moment)
 */
export function decideAdmission (store: AdmissionStore, message: AdmissionMessage, moment: Moment): AdmissionStep {
  switch (message.kind) {
    case 'admission/check-open': return checkOpen(store.shared, message, moment)
    case 'admission/check-request': return checkRequest(store, message, moment)
    case 'admission/documents-confirmed': return takeDocuments(store, message, moment)
  }
}

function takeDocuments ({ shared, items }: AdmissionStore, message: DocumentsConfirmed, moment: Moment): AdmissionStep {
  const documents = message.documents === undefined
    ? shared.documents
    : new Map(message.documents.map(entry => [entry.service, entry.document]))
  const confirmedAtMs = Math.max(shared.confirmedAtMs ?? message.askedAtMs, message.askedAtMs)
  const next: AdmissionShared = { documents, confirmedAtMs, hosts: Math.max(1, message.hosts) }
  const buckets = [...documents.values()].flatMap(document => document.workspaces.map(workspace => resizeShare(next, items, document.service, workspace, moment)))
  return { shared: next, changes: buckets, effects: [] }
}

function resizeShare (shared: AdmissionShared, items: AdmissionStore['items'], service: string, workspace: Workspace, moment: Moment): readonly [string, Bucket] {
  const key = `${service}/${workspace.name}`
  const rate = workspace.rate / shared.hosts
  const burst = workspace.burst / shared.hosts
  const known = items.get(key)
  if (known === undefined) return [key, createBucket(rate, burst, moment.monotonicMs)]
  return [key, resizeBucket(known, rate, burst, moment.monotonicMs)]
}

function checkOpen (shared: AdmissionShared, message: CheckOpen, moment: Moment): AdmissionStep {
  const failure = findOpenFailure(shared, message, moment)
  return { effects: [tell({ kind: 'requests/open-checked', caller: message.caller, failure })] }
}

function findOpenFailure (shared: AdmissionShared, message: CheckOpen, moment: Moment): Failure | undefined {
  const document = shared.documents.get(message.service)
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
  if (workspace === undefined || message.inTransaction) return admit(message, rules)
  return takeToken(store, message, rules, workspace, moment)
}

function findPermission (shared: AdmissionShared, message: CheckRequest, moment: Moment): Result<Permission, Failure> {
  const document = shared.documents.get(message.service)
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

function takeToken (store: AdmissionStore, message: CheckRequest, rules: RouteRules, workspace: Workspace, moment: Moment): AdmissionStep {
  const [key, bucket] = resizeShare(store.shared, store.items, message.service, workspace, moment)
  if (bucket.tokens < 1) return { ...refuse(message, createFailure('rate-exceeded', workspace.name)), changes: [[key, bucket]] }
  return { ...admit(message, rules), changes: [[key, { ...bucket, tokens: bucket.tokens - 1 }]] }
}

function admit (message: CheckRequest, rules: RouteRules): AdmissionStep {
  return { effects: [tell({ kind: 'requests/admitted', caller: message.caller, attempt: message.attempt, rules })] }
}

function refuse (message: CheckRequest, failure: Failure): AdmissionStep {
  return { ...UNCHANGED, effects: [tell({ kind: 'requests/failed', caller: message.caller, attempt: message.attempt, failure })] }
}
