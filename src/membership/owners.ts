/** Ownership: the one host through which all work for a database passes. */
import { rankCandidates } from '../core/rendezvous.js'
import type { DatabaseEntry, HostEntry } from './directory.js'

/**
 * Returns the owner of a database: the heaviest host of its failure domain that is not draining. Where hosts
 * without work for databases are told apart, any failure domain serves one that has no host of its own.
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
