/** Keys: hashed where they arrive, compared in constant time, stored nowhere. */
import { createHash, randomBytes, timingSafeEqual } from 'node:crypto'
import type { Workspace } from '../documents/document.js'

const KEY_BYTES = 32

/** A new key, shown once, and the hash that stands in the document. */
export interface NewKey {
  readonly key: string
  readonly sha256: string
}

/**
 * Draws a new key.
 * @example createKey().sha256 === hashKey(createKey().key) // false: each call draws another key
 */
export function createKey (): NewKey {
  const key = randomBytes(KEY_BYTES).toString('base64url')
  return { key, sha256: hashKey(key) }
}

/**
 * Hashes a key. Keys are random and long, so that a plain hash can't be searched.
 * @example hashKey('secret').length // 64
 */
export function hashKey (key: string): string {
  return createHash('sha256').update(key, 'utf8').digest('hex')
}

/**
 * Tells whether a hash is that of one of the workspace's keys; takes the same time for each wrong one.
 * @example holdsKey(workspace, hashKey('secret'))
 */
export function holdsKey (workspace: Workspace, keyHash: string): boolean {
  const offered = Buffer.from(keyHash, 'hex')
  let found = false
  for (const key of workspace.keys) {
    const held = Buffer.from(key.sha256, 'hex')
    const equal = held.length === offered.length && timingSafeEqual(held, offered)
    found = found || equal
  }
  return found
}
