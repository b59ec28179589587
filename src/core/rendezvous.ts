/** Rendezvous hashing: every host picks the same owner without communication. */
import { createHash } from 'node:crypto'

/**
 * Sorts candidates by their rendezvous weight for a key, heaviest first.
 * @example rankCandidates('db-1', ['host-1', 'host-2'])[0]
 */
export function rankCandidates (key: string, candidates: readonly string[]): readonly string[] {
  return candidates
    .map(name => ({ name, weight: hashWeight(key, name) }))
    .sort((a, b) => (a.weight < b.weight ? 1 : a.weight > b.weight ? -1 : 0))
    .map(candidate => candidate.name)
}

function hashWeight (key: string, candidate: string): string {
  return createHash('sha256').update(`${key}\0${candidate}`).digest('hex')
}
