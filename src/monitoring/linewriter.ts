/** Writes log lines through a bounded buffer, so that a slow reader never blocks the process. */
import { write } from 'node:fs'

/** The most characters that are buffered while the reader is slow; further lines are dropped and counted. */
const MAX_BUFFERED_LENGTH = 1_048_576

/** The part of a writable stream that a logger needs. */
export interface LineStream {
  /** Writes one line, which includes its line break. */
  write (line: string): void
}

/** Writes lines to a file descriptor in the background. */
export class LineWriter implements LineStream {
  readonly #descriptor: number
  #buffered: string[] = []
  #bufferedLength = 0
  #writing = false
  #dropped = 0

  private constructor (descriptor: number) {
    this.#descriptor = descriptor
  }

  /**
   * Creates a writer for a file descriptor.
   * @example LineWriter.create(1).write('{"msg":"started"}\n')
   */
  static create (descriptor: number): LineWriter {
    return new LineWriter(descriptor)
  }

  /** The number of lines dropped since the process started; a failed write counts as one. */
  get dropped (): number {
    return this.#dropped
  }

  write (line: string): void {
    if (this.#bufferedLength + line.length > MAX_BUFFERED_LENGTH) {
      this.#dropped += 1
      return
    }
    this.#buffered.push(line)
    this.#bufferedLength += line.length
    if (!this.#writing) this.#writeNext()
  }

  #writeNext (): void {
    const batch = Buffer.from(this.#buffered.join(''))
    this.#buffered = []
    this.#bufferedLength = 0
    this.#writing = true
    this.#writeAll(batch)
  }

  // A failed write, as after the reader closed the pipe, drops its batch; the process goes on.
  #writeAll (batch: Buffer): void {
    write(this.#descriptor, batch, (error, written) => {
      if (error === null && written < batch.length) return this.#writeAll(batch.subarray(written))
      if (error !== null) this.#dropped += 1
      this.#writing = false
      if (this.#buffered.length > 0) this.#writeNext()
    })
  }
}
