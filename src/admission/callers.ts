/** Open connections that came with a key, by service, so that a changed document reaches just its callers. */
import { createFailure } from '../core/errors.js'
import type { CoreEffect } from '../core/message.js'
import type { ServiceDocument } from '../documents/document.js'
import { SortedMap } from '../fairness/sortedmap.js'
import { tell } from '../messages.js'
import { holdsKey } from './keys.js'

/** A connection and the key that let it in. */
export interface KeyedCaller {
  readonly caller: string
  readonly workspace: string
  readonly keyHash: string
}

/** Keyed connections of one service, by caller. */
export type ServiceCallers = SortedMap<string, KeyedCaller>
/** Keyed connections by service. */
export type KeyedCallers = SortedMap<string, ServiceCallers>

/** Keyed connections without those that lost their key, and what tells these. */
export interface Checked {
  readonly callers: KeyedCallers
  readonly effects: readonly CoreEffect[]
}

const compareText = (one: string, other: string): number => (one < other ? -1 : one > other ? 1 : 0)

/**
 * Creates the record of no connection.
 * @example createKeyedCallers().size // 0
 */
export function createKeyedCallers (): KeyedCallers {
  return SortedMap.create(compareText)
}

/**
 * Adds a connection.
 * @example addCaller(callers, 'rota', { caller: 'c1', workspace: 'parish', keyHash })
 */
export function addCaller (callers: KeyedCallers, service: string, caller: KeyedCaller): KeyedCallers {
  const known = callers.find(service) ?? SortedMap.create<string, KeyedCaller>(compareText)
  return callers.put(service, known.put(caller.caller, caller))
}

/**
 * Drops a connection.
 * @example dropCaller(callers, 'rota', 'c1')
 */
export function dropCaller (callers: KeyedCallers, service: string, caller: string): KeyedCallers {
  const left = callers.find(service)?.drop(caller)
  if (left === undefined) return callers
  return left.size === 0 ? callers.drop(service) : callers.put(service, left)
}

/**
 * Checks the connections of a service against its document in force.
 * @example checkCallers(callers, 'rota', document).effects
 */
export function checkCallers (callers: KeyedCallers, service: string, document: ServiceDocument): Checked {
  const lost = (callers.find(service)?.list() ?? []).filter(caller => !isValid(document, caller))
  return {
    callers: lost.reduce((left, caller) => dropCaller(left, service, caller.caller), callers),
    effects: lost.map(({ caller, workspace }) => tell({ kind: 'requests/key-withdrawn', caller, failure: createFailure('wrong-key', workspace) }))
  }
}

function isValid (document: ServiceDocument, caller: KeyedCaller): boolean {
  const workspace = document.workspaces.find(candidate => candidate.name === caller.workspace)
  return workspace !== undefined && holdsKey(workspace, caller.keyHash)
}
