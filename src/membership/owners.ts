/** Ownership: the one host that executes all requests of a database. */
import { pickHeaviest } from '../core/rendezvous.js'
import type { DatabaseEntry, HostEntry } from './directory.js'

/**
 * Gives each database an owner: of the hosts of its failure domain the heaviest by rendezvous hashing that owns fewer
 * databases than an equal part of them, so that no host owns two while another one owns none. Databases keep their owners
 * when they start again, and most keep them when a host joins or leaves.
 * @example allocateOwners(databases, hosts).get('db-1') // 'host-2'
 */
export function allocateOwners (databases: readonly DatabaseEntry[], hosts: readonly HostEntry[]): ReadonlyMap<string, string> {
  const serving = hosts.filter(host => host.apart !== true)
  const hostsByDomain = collectBy(serving, host => host.failureDomain)
  const elsewhere = listActive(serving.filter(host => host.apart === false))
  // The databases of a domain without hosts belong to the hosts of any domain that declare `apart: false`.
  const domains = collectBy(databases, ({ failureDomain }) => (hostsByDomain.has(failureDomain) ? failureDomain : ''))
  const owners = new Map<string, string>()
  for (const [domain, members] of domains) allocateDomain(owners, members, domain === '' ? elsewhere : listActive(hostsByDomain.get(domain)!))
  return owners
}

function allocateDomain (owners: Map<string, string>, databases: readonly DatabaseEntry[], candidates: readonly string[]): void {
  if (candidates.length === 0) return
  const most = Math.ceil(databases.length / candidates.length)
  const counts = new Map<string, number>()
  for (const { name, database } of listByName(databases)) {
    const owner = pickHeaviest(name, candidates, host => (counts.get(host) ?? 0) < most)!
    counts.set(owner, (counts.get(owner) ?? 0) + 1)
    owners.set(database, owner)
  }
}

// Two starts of an instance may be known at a time.
function listByName (databases: readonly DatabaseEntry[]): ReadonlyArray<{ readonly name: string, readonly database: string }> {
  const named = databases.map(({ group, incarnation, database }) => ({ name: `${group}/${incarnation?.instance ?? database}`, database }))
  return named.sort((a, b) => (a.name === b.name ? compareText(a.database, b.database) : compareText(a.name, b.name)))
}

function compareText (a: string, b: string): number {
  return a === b ? 0 : a < b ? -1 : 1
}

function collectBy<T> (items: readonly T[], readKey: (item: T) => string): ReadonlyMap<string, readonly T[]> {
  const groups = new Map<string, T[]>()
  for (const item of items) {
    const known = groups.get(readKey(item))
    if (known === undefined) groups.set(readKey(item), [item])
    else known.push(item)
  }
  return groups
}

// Draining hosts are passed over, unless all of them are.
function listActive (hosts: readonly HostEntry[]): readonly string[] {
  const active = hosts.filter(host => !host.draining)
  return (active.length > 0 ? active : hosts).map(host => host.host)
}
