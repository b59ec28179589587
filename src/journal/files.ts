/** A write-ahead journal in the files of a data folder. */
import { open, type FileHandle } from 'node:fs/promises'
import type { Post } from '../core/adapter.js'
import { nameSegment, openFolder, storeSnapshot } from './folder.js'
import { encodeFrames } from './frame.js'
import type { JournalContents, JournalEffect } from './messages.js'
import { JournalStore } from './store.js'

/** Appends records to the last segment of a data folder. */
export class FileJournal extends JournalStore {
  /** The contents of the folder when it was opened. */
  readonly contents: JournalContents
  readonly #folder: string
  #segment: number
  #handle: FileHandle

  private constructor (post: Post, onError: (error: unknown) => void, folder: string, contents: JournalContents, segment: number, handle: FileHandle) {
    super(post, onError)
    this.#folder = folder
    this.contents = contents
    this.#segment = segment
    this.#handle = handle
  }

  /**
   * Opens a data folder, or creates it. Only one process at a time may have it open.
   * @example await using journal = await FileJournal.create('/var/lib/fulmartally', loop.post, onError)
   * @throws when the folder can't be read or written.
   */
  static async create (folder: string, post: Post, onError: (error: unknown) => void): Promise<FileJournal> {
    const { contents, segment } = await openFolder(folder)
    return new FileJournal(post, onError, folder, contents, segment, await open(nameSegment(folder, segment), 'a'))
  }

  protected async store (batch: readonly JournalEffect[]): Promise<void> {
    let records: readonly unknown[] = []
    for (const effect of batch) {
      if (effect.kind === 'journal/append') records = [...records, ...effect.records]
      else {
        // The snapshot covers all earlier writes of the batch.
        records = []
        await this.#startSegment(effect.snapshot, effect.records)
      }
    }
    if (records.length === 0) return
    await this.#handle.appendFile(encodeFrames(records))
    await this.#handle.datasync()
  }

  protected async close (): Promise<void> {
    await this.#handle.close()
  }

  async #startSegment (snapshot: unknown, records: readonly unknown[]): Promise<void> {
    const segment = this.#segment + 1
    await storeSnapshot(this.#folder, segment, snapshot, records)
    await this.#handle.close()
    this.#segment = segment
    this.#handle = await open(nameSegment(this.#folder, segment), 'a')
  }
}
