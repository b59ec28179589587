/** The journal's files in one data folder: who the host is, a snapshot, and the records after it. */
import { randomBytes } from 'node:crypto'
import { mkdir, open, readdir, readFile, rename, rm, truncate } from 'node:fs/promises'
import { join } from 'node:path'
import { decodeFrames, encodeFrames } from './frame.js'
import type { JournalContents } from './messages.js'

const INCARNATION_BYTES = 8
const IDENTITY_FILE = 'identity'
const SNAPSHOT_FILE = 'snapshot'
const SEGMENT = /^records-(\d{12})$/

/** A folder that was opened, and the number of its last segment. */
export interface OpenedFolder {
  readonly contents: JournalContents
  readonly segment: number
}

/**
 * Opens a data folder. An empty one gets an incarnation. A damaged one is set aside inside the folder, and
 * the host goes on as a new, empty incarnation: it may have promised what it does not remember.
 * @example await openFolder('/var/lib/fulmartally')
 * @throws when the folder can't be read or written.
 */
export async function openFolder (folder: string): Promise<OpenedFolder> {
  await mkdir(folder, { recursive: true })
  const names = await readdir(folder)
  if (!names.some(name => name === IDENTITY_FILE || name === SNAPSHOT_FILE || SEGMENT.test(name))) return await createFolder(folder)
  const opened = await readFolder(folder, names)
  return typeof opened === 'string' ? await replaceFolder(folder, names, opened) : opened
}

/** Returns the path of a segment. */
export function nameSegment (folder: string, segment: number): string {
  return join(folder, `records-${String(segment).padStart(12, '0')}`)
}

/** Stores a snapshot, and a segment that begins after it; earlier segments are dropped last. */
export async function storeSnapshot (folder: string, segment: number, snapshot: unknown, records: readonly unknown[]): Promise<void> {
  await replaceFile(folder, join(folder, SNAPSHOT_FILE), encodeFrames([snapshot]))
  // Entries that an earlier segment holds beyond the snapshot give way to those that follow here.
  await replaceFile(folder, nameSegment(folder, segment), encodeFrames([{ kind: 'restart' }, ...records]))
  for (const name of await readdir(folder)) {
    const number = SEGMENT.exec(name)?.[1]
    if (number !== undefined && Number(number) < segment) await rm(join(folder, name))
  }
}

async function createFolder (folder: string, damage?: string): Promise<OpenedFolder> {
  const incarnation = randomBytes(INCARNATION_BYTES).toString('hex')
  await replaceFile(folder, nameSegment(folder, 1), Buffer.alloc(0))
  await replaceFile(folder, join(folder, IDENTITY_FILE), encodeFrames([{ incarnation }]))
  return { contents: { incarnation, records: [], cutBytes: 0, damage }, segment: 1 }
}

async function replaceFolder (folder: string, names: readonly string[], damage: string): Promise<OpenedFolder> {
  const aside = `damaged-${Date.now()}`
  await mkdir(join(folder, aside))
  for (const name of names.filter(name => !name.startsWith('damaged-'))) await rename(join(folder, name), join(folder, aside, name))
  return await createFolder(folder, `${damage}; the files are in ${aside}`)
}

async function readFolder (folder: string, names: readonly string[]): Promise<OpenedFolder | string> {
  const identity = await readWhole(folder, names, IDENTITY_FILE)
  const snapshot = await readWhole(folder, names, SNAPSHOT_FILE)
  const segments = names.filter(name => SEGMENT.test(name)).sort()
  const last = segments[segments.length - 1]
  if (identity === 'damaged' || identity === undefined) return 'the identity can not be read'
  if (snapshot === 'damaged') return 'the snapshot can not be read'
  if (last === undefined) return 'the records are missing'
  const { incarnation } = identity as { readonly incarnation: string }
  let records: readonly unknown[] = []
  let cutBytes = 0
  for (const name of segments) {
    const bytes = await readFile(join(folder, name))
    const decoded = decodeFrames(bytes)
    cutBytes = bytes.length - decoded.wholeBytes
    if (decoded.damage !== undefined) return `${name}: ${decoded.damage}`
    if (cutBytes > 0 && name !== last) return `${name}: its end is missing`
    const restart = decoded.values.findIndex(value => (value as { readonly kind?: string }).kind === 'restart')
    records = restart < 0 ? [...records, ...decoded.values] : decoded.values.slice(restart + 1)
  }
  if (cutBytes > 0) await truncateFile(join(folder, last), cutBytes)
  return { contents: { incarnation, snapshot, records, cutBytes }, segment: Number(SEGMENT.exec(last)![1]) }
}

async function readWhole (folder: string, names: readonly string[], name: string): Promise<unknown> {
  if (!names.includes(name)) return undefined
  const bytes = await readFile(join(folder, name))
  const { values, wholeBytes, damage } = decodeFrames(bytes)
  return damage !== undefined || wholeBytes !== bytes.length || values.length !== 1 ? 'damaged' : values[0]
}

async function truncateFile (file: string, cutBytes: number): Promise<void> {
  const handle = await open(file, 'r+')
  try {
    const { size } = await handle.stat()
    await truncate(file, size - cutBytes)
    await handle.sync()
  } finally {
    await handle.close()
  }
}

async function replaceFile (folder: string, file: string, bytes: Buffer): Promise<void> {
  const handle = await open(`${file}.new`, 'w')
  try {
    await handle.writeFile(bytes)
    await handle.sync()
  } finally {
    await handle.close()
  }
  await rename(`${file}.new`, file)
  await syncFolder(folder)
}

async function syncFolder (folder: string): Promise<void> {
  const handle = await open(folder, 'r')
  try {
    await handle.sync()
  } finally {
    await handle.close()
  }
}
