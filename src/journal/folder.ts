/** The journal's files in one data folder: the host's identity, a snapshot, and segments with the records after it. */
import { randomBytes } from 'node:crypto'
import { mkdir, open, readdir, readFile, rename, rm, truncate } from 'node:fs/promises'
import { join } from 'node:path'
import { decodeFrames, encodeFrames } from './frame.js'
import type { JournalContents } from './messages.js'

const INCARNATION_BYTES = 8
const IDENTITY_FILE = 'identity'
const SNAPSHOT_FILE = 'snapshot'
const SEGMENT_PATTERN = /^records-(\d{12})$/

/** The contents of an opened folder, and the number of its last segment. */
export interface OpenedFolder {
  readonly contents: JournalContents
  readonly segment: number
}

/**
 * Opens a data folder. An empty folder gets a new incarnation. The files of a damaged folder are moved to a subfolder,
 * and the host continues as a new, empty incarnation: it may have forgotten votes or entries that it acknowledged.
 * @example await openFolder('/var/lib/fulmartally')
 * @throws when the folder can't be read or written.
 */
export async function openFolder (folder: string): Promise<OpenedFolder> {
  await mkdir(folder, { recursive: true })
  const names = await readdir(folder)
  if (!names.some(name => name === IDENTITY_FILE || name === SNAPSHOT_FILE || SEGMENT_PATTERN.test(name))) return await initializeFolder(folder)
  const opened = await readFolder(folder, names)
  return typeof opened === 'string' ? await resetFolder(folder, names, opened) : opened
}

/** Returns the path of a segment. */
export function nameSegment (folder: string, segment: number): string {
  return join(folder, `records-${String(segment).padStart(12, '0')}`)
}

/** Stores a snapshot and a new segment that follows it. Earlier segments are removed last, so that a crash loses nothing. */
export async function storeSnapshot (folder: string, segment: number, snapshot: unknown, records: readonly unknown[]): Promise<void> {
  await replaceFileAtomically(folder, join(folder, SNAPSHOT_FILE), encodeFrames([snapshot]))
  // The restart marker invalidates the entries beyond the snapshot in earlier segments; the records here replace them.
  await replaceFileAtomically(folder, nameSegment(folder, segment), encodeFrames([{ kind: 'restart' }, ...records]))
  for (const name of await readdir(folder)) {
    const number = SEGMENT_PATTERN.exec(name)?.[1]
    if (number !== undefined && Number(number) < segment) await rm(join(folder, name))
  }
}

async function initializeFolder (folder: string, damage?: string): Promise<OpenedFolder> {
  const incarnation = randomBytes(INCARNATION_BYTES).toString('hex')
  await replaceFileAtomically(folder, nameSegment(folder, 1), Buffer.alloc(0))
  await replaceFileAtomically(folder, join(folder, IDENTITY_FILE), encodeFrames([{ incarnation }]))
  return { contents: { incarnation, records: [], truncatedBytes: 0, damage }, segment: 1 }
}

async function resetFolder (folder: string, names: readonly string[], damage: string): Promise<OpenedFolder> {
  const backupFolder = `damaged-${Date.now()}`
  await mkdir(join(folder, backupFolder))
  for (const name of names.filter(name => !name.startsWith('damaged-'))) await rename(join(folder, name), join(folder, backupFolder, name))
  return await initializeFolder(folder, `${damage}; the old files were moved to ${backupFolder}`)
}

async function readFolder (folder: string, names: readonly string[]): Promise<OpenedFolder | string> {
  const identity = await readSingleFrame(folder, names, IDENTITY_FILE)
  const snapshot = await readSingleFrame(folder, names, SNAPSHOT_FILE)
  const segments = names.filter(name => SEGMENT_PATTERN.test(name)).sort()
  const lastSegment = segments[segments.length - 1]
  if (identity === 'damaged' || identity === undefined) return 'the identity file is damaged or missing'
  if (snapshot === 'damaged') return 'the snapshot file is damaged'
  if (lastSegment === undefined) return 'the records are missing'
  const { incarnation } = identity as { readonly incarnation: string }
  let records: readonly unknown[] = []
  let truncatedBytes = 0
  for (const name of segments) {
    const bytes = await readFile(join(folder, name))
    const decoded = decodeFrames(bytes)
    truncatedBytes = bytes.length - decoded.validBytes
    if (decoded.damage !== undefined) return `${name}: ${decoded.damage}`
    if (truncatedBytes > 0 && name !== lastSegment) return `${name}: the segment is truncated`
    const restart = decoded.values.findIndex(value => (value as { readonly kind?: string }).kind === 'restart')
    records = restart < 0 ? [...records, ...decoded.values] : decoded.values.slice(restart + 1)
  }
  if (truncatedBytes > 0) await truncateFile(join(folder, lastSegment), truncatedBytes)
  return { contents: { incarnation, snapshot, records, truncatedBytes }, segment: Number(SEGMENT_PATTERN.exec(lastSegment)![1]) }
}

async function readSingleFrame (folder: string, names: readonly string[], name: string): Promise<unknown> {
  if (!names.includes(name)) return undefined
  const bytes = await readFile(join(folder, name))
  const { values, validBytes, damage } = decodeFrames(bytes)
  return damage !== undefined || validBytes !== bytes.length || values.length !== 1 ? 'damaged' : values[0]
}

async function truncateFile (file: string, truncatedBytes: number): Promise<void> {
  const handle = await open(file, 'r+')
  try {
    const { size } = await handle.stat()
    await truncate(file, size - truncatedBytes)
    await handle.sync()
  } finally {
    await handle.close()
  }
}

async function replaceFileAtomically (folder: string, file: string, bytes: Buffer): Promise<void> {
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
