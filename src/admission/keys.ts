/** API keys. They are hashed on arrival, compared in constant time and never stored. */
import { createHash, randomBytes, timingSafeEqual } from 'node:crypto'
import type { Workspace } from '../documents/document.js'

const KEY_BYTES = 32

/** A new key, which is shown once, and its hash for the document. */
export interface NewKey {
  readonly key: string
  readonly sha256: string
}

/**
 * Generates a random key.
 * @example createKey().sha256 === hashKey(createKey().key) // false: each call generates another key
 */
export function createKey (): NewKey {
  const key = randomBytes(KEY_BYTES).toString('base64url')
  return { key, sha256: hashKey(key) }
}

/**
 * Hashes a key. A plain SHA-256 is enough, since keys are random and too long for a brute-force search.
 * @example hashKey('secret').length // 64
 */
export function hashKey (key: string): string {
  return createHash('sha256').update(key, 'utf8').digest('hex')
}

/**
 * Tells whether a hash matches one of the workspace's keys, in constant time for wrong keys.
 * @example matchesKey(workspace, hashKey('secret'))
 */
export function matchesKey (workspace: Workspace, keyHash: string): boolean {
  const offered = Buffer.from(keyHash, 'hex')
  let found = false
  for (const key of workspace.keys) {
    const expected = Buffer.from(key.sha256, 'hex')
    const equal = expected.length === offered.length && timingSafeEqual(expected, offered)
    found = found || equal
  }
  return found
}
