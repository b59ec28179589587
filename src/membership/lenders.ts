/**
 * Lenders of a large fleet: hosts that lend the tokens of workspaces to the others. There is one for every few hosts, since
 * loans grow with requests, as the fleet does; the control hosts stay as few as they are.
 */
import { rankCandidates } from '../core/rendezvous.js'
import { listEntries, type Directory } from './directory.js'
import { MIN_RELAYED_HOSTS } from './relay.js'

/** The hosts of the fleet for each lender: few enough for the loans of their requests, and many enough to keep links few. */
const HOSTS_PER_LENDER = 4
/** The key by which hosts are ranked: any other one would do. */
const RANKING_KEY = 'lenders'

/**
 * Lists the hosts that lend tokens in a large fleet; none in a small one, where each host holds shares. Owners of databases
 * are passed over, since they have the most work already, and so are control hosts.
 * @param owners the owner of each database.
 * @example listLenders(directory, owners) // ['host-17', 'host-4', 'host-30', 'host-9']
 */
export function listLenders (directory: Directory, owners: ReadonlyMap<string, string>): readonly string[] {
  const hosts = listEntries(directory, 'host')
  if (hosts.length < MIN_RELAYED_HOSTS) return []
  const busy = new Set(owners.values())
  const active = hosts.filter(host => !host.draining)
  const others = active.filter(host => host.control !== true)
  const free = others.filter(host => !busy.has(host.host))
  const candidates = [free, others, active].find(list => list.length > 0) ?? []
  return rankCandidates(RANKING_KEY, candidates.map(({ host }) => host)).slice(0, Math.ceil(hosts.length / HOSTS_PER_LENDER))
}
