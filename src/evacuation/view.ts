/** A host's view of evacuated databases, from its directory. */
import { listEntries, type DatabaseEntry, type Directory } from '../membership/directory.js'
import type { DocumentVersion } from '../membership/messages.js'

/** Stands for the orders among the versions that control hosts hold: no service can have this name. */
export const ORDERS_NAME = '/evacuations'

/**
 * Tells whether an operator's order keeps all requests away from a database.
 * @example isEvacuated(entry)
 */
export function isEvacuated ({ evacuated }: Pick<DatabaseEntry, 'evacuated'>): boolean {
  return evacuated === true
}

/**
 * Lists the evacuated failure domains of a directory.
 * @example listEvacuatedDomains(directory) // ['east']
 */
export function listEvacuatedDomains (directory: Directory): readonly string[] {
  return listEntries(directory, 'evacuation').filter(({ evacuated }) => evacuated).map(({ failureDomain }) => failureDomain)
}

/**
 * Marks a database whose failure domain is evacuated, and takes the mark from any other one.
 * @example markDatabase(entry, ['east']).evacuated // true
 */
export function markDatabase (entry: DatabaseEntry, domains: readonly string[]): DatabaseEntry {
  const evacuated = domains.includes(entry.failureDomain)
  return evacuated === isEvacuated(entry) ? entry : { ...entry, evacuated }
}

/**
 * Lists the databases of a directory, those of evacuated failure domains marked.
 * @example listMarkedDatabases(directory).filter(isEvacuated)
 */
export function listMarkedDatabases (directory: Directory): readonly DatabaseEntry[] {
  const databases = listEntries(directory, 'database')
  const domains = listEvacuatedDomains(directory)
  return domains.length === 0 ? databases : databases.map(entry => markDatabase(entry, domains))
}

/**
 * Lists the last order that a directory holds on each failure domain, by number.
 * @example listOrders(directory).get('east') // 3
 */
export function listOrders (directory: Directory): ReadonlyMap<string, number> {
  return new Map(listEntries(directory, 'evacuation').map(({ failureDomain, version }) => [failureDomain, version]))
}

/**
 * Tells whether a directory holds all orders that a majority of the control hosts may have acknowledged.
 * @example hasOrders(directory, [{ service: '/evacuations', version: 3 }])
 */
export function hasOrders (directory: Directory, versions: readonly DocumentVersion[]): boolean {
  const newest = versions.find(({ service }) => service === ORDERS_NAME)?.version ?? 0
  return Math.max(0, ...listOrders(directory).values()) >= newest
}
