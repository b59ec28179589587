/** The journal from which a stand-in database recovers its log, role and terms after a restart. */
import { mkdir, open, readFile, type FileHandle } from 'node:fs/promises'
import { join } from 'node:path'
import type { LogEntry } from './log.js'

const FILE_NAME = 'database.log'

/** The persisted role of a database. */
export interface StoredRole {
  readonly term: number
  readonly fencedTerm: number
  readonly primary: boolean
  readonly source?: string
  readonly discarded: number
}

/** One journal record, stored as one line of JSON. */
export type JournalRecord =
  | { readonly type: 'entry', readonly entry: LogEntry }
  | { readonly type: 'truncate', readonly offset: number }
  | { readonly type: 'role', readonly role: StoredRole }

/** Stores the records of a database. */
export abstract class DatabaseJournal {
  /** The records of previous runs. */
  abstract readonly recovered: readonly JournalRecord[]

  /** Appends a record; it is durable after the next sync. */
  abstract append (record: JournalRecord): void

  /** Waits until all records appended so far are durable. */
  abstract sync (): Promise<void>
}

/** Stores nothing, for databases that are never restarted. */
export class MemoryJournal extends DatabaseJournal {
  readonly recovered = []

  /**
   * Creates a journal that discards all records.
   * @example MemoryJournal.create()
   */
  static create (): MemoryJournal {
    return new MemoryJournal()
  }

  append (): void {}

  async sync (): Promise<void> {}
}

/** Stores records in a file, one per line. Records appended during a sync share the next one (group commit). */
export class FileJournal extends DatabaseJournal {
  readonly recovered: readonly JournalRecord[]
  readonly #file: FileHandle
  #pendingLines: string[] = []
  #appendedCount = 0
  #syncedCount = 0
  #activeSync: Promise<void> | undefined

  private constructor (file: FileHandle, recovered: readonly JournalRecord[]) {
    super()
    this.#file = file
    this.recovered = recovered
  }

  /**
   * Opens the journal of a data folder and truncates an incomplete last line, left by a crash.
   * @example await FileJournal.create('data/a1')
   */
  static async create (folder: string): Promise<FileJournal> {
    await mkdir(folder, { recursive: true })
    const path = join(folder, FILE_NAME)
    const text = await readFile(path, 'utf8').catch(() => '')
    const completeLines = text.slice(0, text.lastIndexOf('\n') + 1)
    const file = await open(path, 'a')
    await file.truncate(Buffer.byteLength(completeLines))
    await file.sync()
    return new FileJournal(file, completeLines.split('\n').filter(line => line !== '').map(line => JSON.parse(line) as JournalRecord))
  }

  append (record: JournalRecord): void {
    this.#pendingLines.push(`${JSON.stringify(record)}\n`)
    this.#appendedCount += 1
  }

  async sync (): Promise<void> {
    const targetCount = this.#appendedCount
    while (this.#syncedCount < targetCount) {
      this.#activeSync ??= this.#writePendingLines()
      await this.#activeSync
    }
  }

  async #writePendingLines (): Promise<void> {
    const lines = this.#pendingLines
    const count = this.#appendedCount
    this.#pendingLines = []
    await this.#file.appendFile(lines.join(''))
    await this.#file.datasync()
    this.#syncedCount = count
    this.#activeSync = undefined
  }
}
