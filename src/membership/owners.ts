/** Ownership: the one host that executes all requests of a database. */
import { rankCandidates } from '../core/rendezvous.js'
import type { DatabaseEntry, HostEntry } from './directory.js'

/**
 * Returns the owner of a database by rendezvous hashing among the hosts of its failure domain. Draining hosts are
 * excluded unless all are draining. If no host of the domain may own databases, the hosts of any domain that
 * declare `apart: false` are candidates.
 * @example findOwner(database, hosts) // 'host-2'
 */
export function findOwner (database: DatabaseEntry, hosts: readonly HostEntry[]): string | undefined {
  const serving = hosts.filter(host => host.apart !== true)
  const near = serving.filter(host => host.failureDomain === database.failureDomain)
  const domain = near.length > 0 ? near : serving.filter(host => host.apart === false)
  const active = domain.filter(host => !host.draining)
  const candidates = active.length > 0 ? active : domain
  return rankCandidates(database.database, candidates.map(host => host.host))[0]
}

/**
 * Lists the databases that a host owns.
 * @example listOwned('host-2', databases, hosts)
 */
export function listOwned (host: string, databases: readonly DatabaseEntry[], hosts: readonly HostEntry[]): readonly DatabaseEntry[] {
  return databases.filter(database => findOwner(database, hosts) === host)
}
