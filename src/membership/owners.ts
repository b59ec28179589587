/** Ownership: the one host that executes all requests of a database. */
import { pickHeaviest } from '../core/rendezvous.js'
import type { DatabaseEntry, HostEntry } from './directory.js'

/** The hosts that may own databases, by failure domain, and those that own the databases of the other domains. */
export interface OwnerCandidates {
  readonly byDomain: ReadonlyMap<string, readonly string[]>
  readonly elsewhere: readonly string[]
}

/**
 * Lists the hosts that may own databases. Draining hosts are excluded unless all of their domain are draining. A domain
 * without such hosts leaves its databases to the hosts of any domain that declare `apart: false`.
 * @example listCandidates(hosts).byDomain.get('east') // ['host-1', 'host-2']
 */
export function listCandidates (hosts: readonly HostEntry[]): OwnerCandidates {
  const serving = hosts.filter(host => host.apart !== true)
  const domains = new Map<string, HostEntry[]>()
  for (const host of serving) {
    const known = domains.get(host.failureDomain)
    if (known === undefined) domains.set(host.failureDomain, [host])
    else known.push(host)
  }
  return {
    byDomain: new Map([...domains].map(([domain, members]) => [domain, listActive(members)])),
    elsewhere: listActive(serving.filter(host => host.apart === false))
  }
}

function listActive (hosts: readonly HostEntry[]): readonly string[] {
  const active = hosts.filter(host => !host.draining)
  return (active.length > 0 ? active : hosts).map(host => host.host)
}

/**
 * Returns the owner of a database by rendezvous hashing among the candidates of its failure domain.
 * @example findOwner(database, listCandidates(hosts)) // 'host-2'
 */
export function findOwner (database: DatabaseEntry, { byDomain, elsewhere }: OwnerCandidates): string | undefined {
  return pickHeaviest(database.database, byDomain.get(database.failureDomain) ?? elsewhere)
}

/**
 * Lists the hosts that own a database.
 * @example listOwners(databases, hosts).has('host-2')
 */
export function listOwners (databases: readonly DatabaseEntry[], hosts: readonly HostEntry[]): ReadonlySet<string> {
  const candidates = listCandidates(hosts)
  return new Set(databases.flatMap(database => findOwner(database, candidates) ?? []))
}

/**
 * Lists the databases that a host owns.
 * @example listOwned('host-2', databases, hosts)
 */
export function listOwned (host: string, databases: readonly DatabaseEntry[], hosts: readonly HostEntry[]): readonly DatabaseEntry[] {
  const candidates = listCandidates(hosts)
  return databases.filter(database => findOwner(database, candidates) === host)
}
