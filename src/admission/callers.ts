/** Open connections with a key, indexed by service, so that a changed document is checked only against its own callers. */
import { createFailure } from '../core/errors.js'
import type { CoreEffect } from '../core/message.js'
import type { ServiceDocument } from '../documents/document.js'
import { SortedMap } from '../fairness/sortedmap.js'
import { tell } from '../messages.js'
import { matchesKey } from './keys.js'

/** A connection and the key that authenticated it. */
export interface AuthenticatedCaller {
  readonly caller: string
  readonly workspace: string
  readonly keyHash: string
}

/** Connections with a key of one service, by caller. */
export type ServiceCallers = SortedMap<string, AuthenticatedCaller>
/** Connections with a key, by service. */
export type CallersByService = SortedMap<string, ServiceCallers>

const compareText = (a: string, b: string): number => (a < b ? -1 : a > b ? 1 : 0)

/**
 * Creates an empty index.
 * @example createCallersByService().size // 0
 */
export function createCallersByService (): CallersByService {
  return SortedMap.create(compareText)
}

/**
 * Adds a connection.
 * @example addCaller(callers, 'rota', { caller: 'c1', workspace: 'parish', keyHash })
 */
export function addCaller (callers: CallersByService, service: string, caller: AuthenticatedCaller): CallersByService {
  const known = callers.get(service) ?? SortedMap.create<string, AuthenticatedCaller>(compareText)
  return callers.set(service, known.set(caller.caller, caller))
}

/**
 * Removes a connection.
 * @example removeCaller(callers, 'rota', 'c1')
 */
export function removeCaller (callers: CallersByService, service: string, caller: string): CallersByService {
  const remaining = callers.get(service)?.delete(caller)
  if (remaining === undefined) return callers
  return remaining.size === 0 ? callers.delete(service) : callers.set(service, remaining)
}

/**
 * Checks the connections of a service against its current document, and creates the effects that report those whose key is
 * withdrawn. They stay in the index until they end: a later document may give the key back and withdraw it again.
 * @example reportWithdrawnKeys(callers, 'rota', document)
 */
export function reportWithdrawnKeys (callers: CallersByService, service: string, document: ServiceDocument): readonly CoreEffect[] {
  const withdrawn = (callers.get(service)?.listValues() ?? []).filter(caller => !isKeyValid(document, caller))
  return withdrawn.map(({ caller, workspace }) => tell({ kind: 'requests/key-withdrawn', caller, failure: createFailure('wrong-key', workspace) }))
}

function isKeyValid (document: ServiceDocument, caller: AuthenticatedCaller): boolean {
  const workspace = document.workspaces.find(candidate => candidate.name === caller.workspace)
  return workspace !== undefined && matchesKey(workspace, caller.keyHash)
}
