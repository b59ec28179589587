/** Where log lines leave the process: bounded, and without ever waiting for the reader. */
import { write } from 'node:fs'

/** Bytes that may wait for a reader that is slow; more is dropped and counted. */
const MAX_WAITING_BYTES = 1_048_576

/** A stream of lines, as a logger wants it. */
export interface LineStream {
  /** Takes one line with its line break. */
  write (line: string): void
}

/** Writes lines to a file descriptor in the background. */
export class Outlet implements LineStream {
  readonly #descriptor: number
  #waiting: string[] = []
  #waitingBytes = 0
  #writing = false
  #dropped = 0

  private constructor (descriptor: number) {
    this.#descriptor = descriptor
  }

  /**
   * Creates an outlet.
   * @example Outlet.create(1).write('{"msg":"started"}\n')
   */
  static create (descriptor: number): Outlet {
    return new Outlet(descriptor)
  }

  /** How many lines were dropped since the process started. */
  get dropped (): number {
    return this.#dropped
  }

  write (line: string): void {
    if (this.#waitingBytes + line.length > MAX_WAITING_BYTES) {
      this.#dropped += 1
      return
    }
    this.#waiting.push(line)
    this.#waitingBytes += line.length
    if (!this.#writing) this.#writeNext()
  }

  #writeNext (): void {
    const batch = Buffer.from(this.#waiting.join(''))
    this.#waiting = []
    this.#waitingBytes = 0
    this.#writing = true
    this.#writeAll(batch)
  }

  // A reader that went away takes no more lines; the process goes on without them.
  #writeAll (batch: Buffer): void {
    write(this.#descriptor, batch, (error, written) => {
      if (error === null && written < batch.length) return this.#writeAll(batch.subarray(written))
      if (error !== null) this.#dropped += 1
      this.#writing = false
      if (this.#waiting.length > 0) this.#writeNext()
    })
  }
}
