/** Gathers the frames that are sent to one host in one turn of the loop, so that they travel as one message. */

/** The most bytes in a batch before compression, unless a single frame is larger: a batch is only read once all of it has arrived. */
const MAX_BATCH_BYTES = 8_192

/** Reactions to it run as microtasks; unlike `queueMicrotask`, they create no asynchronous resource each. */
const TURN_END = Promise.resolve()

/** A message as it travels between hosts, before compression. */
export interface EncodedFrame {
  readonly kind: string
  readonly bytes: Uint8Array
}

/** Called with the frames of a batch, in the order in which they were added; never with none, and with one until the peer accepts batches. */
export type OnBatch = (frames: readonly EncodedFrame[], isAccepted: boolean) => void

/** Passes frames on as batches at the end of the turn in which they were added. */
export class Outbox {
  readonly #onBatch: OnBatch
  #waiting: EncodedFrame[] = []
  #waitingBytes = 0
  #isAccepted = false

  private constructor (onBatch: OnBatch) {
    this.#onBatch = onBatch
  }

  /**
   * Creates the outbox of a new link. Each frame travels by itself until the peer accepts batches.
   * @example Outbox.create(frames => queue.push(packer.packBatch(frames.map(frame => frame.bytes))))
   */
  static create (onBatch: OnBatch): Outbox {
    return new Outbox(onBatch)
  }

  /** Lets frames travel together from now on. */
  acceptBatches (): void {
    this.#isAccepted = true
  }

  /** Adds a frame; it leaves when the current turn ends, or earlier if its batch is full. */
  add (frame: EncodedFrame): void {
    const isFull = !this.#isAccepted || this.#waitingBytes + frame.bytes.length > MAX_BATCH_BYTES
    if (this.#waiting.length > 0 && isFull) this.#sendWaiting()
    // Microtasks run when the turn ends, before the runtime serves sockets and timers.
    if (this.#waiting.length === 0) TURN_END.then(() => this.#sendWaiting())
    this.#waiting.push(frame)
    this.#waitingBytes += frame.bytes.length
  }

  #sendWaiting (): void {
    const frames = this.#waiting
    if (frames.length === 0) return
    this.#waiting = []
    this.#waitingBytes = 0
    this.#onBatch(frames, this.#isAccepted)
  }
}
