/** Rendezvous hashing: every host picks the same owner without communication. */

/** Offset and prime of the 32-bit FNV-1a hash. */
const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193
/** Factors of the final mix of MurmurHash3. */
const MIX_FACTOR_1 = 0x85ebca6b
const MIX_FACTOR_2 = 0xc2b2ae35

/**
 * Sorts candidates by their rendezvous weight for a key, heaviest first.
 * @example rankCandidates('db-1', ['host-1', 'host-2'])[0]
 */
export function rankCandidates (key: string, candidates: readonly string[]): readonly string[] {
  const seed = hashText(key, FNV_OFFSET)
  const weights = new Map(candidates.map(name => [name, hashWeight(seed, name)]))
  return [...weights.keys()].sort((a, b) => weights.get(b)! - weights.get(a)! || (a < b ? 1 : -1))
}

/**
 * Returns the candidate that `rankCandidates` puts first, in one pass; undefined if there is none.
 * @param isAllowed tells whether a candidate counts; all do if absent.
 * @example pickHeaviest('db-1', ['host-1', 'host-2'])
 */
export function pickHeaviest (key: string, candidates: readonly string[], isAllowed?: (candidate: string) => boolean): string | undefined {
  const seed = hashText(key, FNV_OFFSET)
  let heaviest: string | undefined
  let most = -1
  for (const name of candidates) {
    if (isAllowed?.(name) === false) continue
    const weight = hashWeight(seed, name)
    if (weight < most || (weight === most && name < heaviest!)) continue
    most = weight
    heaviest = name
  }
  return heaviest
}

/**
 * Returns a number that follows from a name alone, from 0 to 2 ** 32 - 1.
 * @example hashName('host-1') % 42
 */
export function hashName (name: string): number {
  return hashWeight(FNV_OFFSET, name)
}

// Every host weighs all candidates whenever one joins or leaves, so the hash is a fast one.
function hashWeight (seed: number, candidate: string): number {
  return hashBits(hashText(candidate, seed))
}

function hashText (text: string, seed: number): number {
  let hash = seed
  for (let index = 0; index < text.length; index++) hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME)
  return Math.imul(hash, FNV_PRIME)
}

// Without it, names that differ in their last characters alone would have similar weights.
function hashBits (hash: number): number {
  const first = Math.imul(hash ^ (hash >>> 16), MIX_FACTOR_1)
  const second = Math.imul(first ^ (first >>> 13), MIX_FACTOR_2)
  return (second ^ (second >>> 16)) >>> 0
}
