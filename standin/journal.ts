/** What a stand-in database keeps over a restart: its log, role and terms. */
import { mkdir, open, readFile, type FileHandle } from 'node:fs/promises'
import { join } from 'node:path'
import type { LogEntry } from './log.js'

const FILE = 'database.log'

/** The role of a database, as it survives a restart. */
export interface StoredRole {
  readonly term: number
  readonly fencedTerm: number
  readonly primary: boolean
  readonly source?: string
  readonly discarded: number
}

/** One line of the file. */
export type JournalRecord =
  | { readonly type: 'entry', readonly entry: LogEntry }
  | { readonly type: 'truncate', readonly offset: number }
  | { readonly type: 'role', readonly role: StoredRole }

/** Keeps the records of a database. */
export abstract class DatabaseJournal {
  /** The records of earlier runs. */
  abstract readonly recovered: readonly JournalRecord[]

  /** Adds a record, which lasts once it is synced. */
  abstract append (record: JournalRecord): void

  /** Waits until all records added so far would survive a crash. */
  abstract sync (): Promise<void>
}

/** Keeps nothing: for databases that never restart. */
export class MemoryJournal extends DatabaseJournal {
  readonly recovered = []

  /**
   * Creates a journal that forgets.
   * @example MemoryJournal.create()
   */
  static create (): MemoryJournal {
    return new MemoryJournal()
  }

  append (): void {}

  async sync (): Promise<void> {}
}

/** Keeps records in a file, one a line; records that wait together are synced together. */
export class FileJournal extends DatabaseJournal {
  readonly recovered: readonly JournalRecord[]
  readonly #file: FileHandle
  #lines: string[] = []
  #added = 0
  #synced = 0
  #syncing: Promise<void> | undefined

  private constructor (file: FileHandle, recovered: readonly JournalRecord[]) {
    super()
    this.#file = file
    this.recovered = recovered
  }

  /**
   * Opens the journal of a data folder; a torn last line is cut off.
   * @example await FileJournal.create('data/a1')
   */
  static async create (folder: string): Promise<FileJournal> {
    await mkdir(folder, { recursive: true })
    const path = join(folder, FILE)
    const text = await readFile(path, 'utf8').catch(() => '')
    const whole = text.slice(0, text.lastIndexOf('\n') + 1)
    const file = await open(path, 'a')
    await file.truncate(Buffer.byteLength(whole))
    await file.sync()
    return new FileJournal(file, whole.split('\n').filter(line => line !== '').map(line => JSON.parse(line) as JournalRecord))
  }

  append (record: JournalRecord): void {
    this.#lines.push(`${JSON.stringify(record)}\n`)
    this.#added += 1
  }

  async sync (): Promise<void> {
    const wanted = this.#added
    while (this.#synced < wanted) {
      this.#syncing ??= this.#writeLines()
      await this.#syncing
    }
  }

  async #writeLines (): Promise<void> {
    const lines = this.#lines
    const added = this.#added
    this.#lines = []
    await this.#file.appendFile(lines.join(''))
    await this.#file.datasync()
    this.#synced = added
    this.#syncing = undefined
  }
}
