/** Row locks: a transaction that wants a locked row waits for the holder's end. */

const LOCK_WAIT_MS = 2_000

/** A transaction waited too long for a row; it may stand in a deadlock. */
export class LockTimeoutError extends Error {
  override readonly name = 'LockTimeoutError'
}

/** Holds each row for one transaction at a time. */
export class RowLocks {
  readonly #holders = new Map<string, symbol>()
  readonly #waiters = new Set<() => void>()

  private constructor () {}

  /**
   * Creates locks of which none is held.
   * @example RowLocks.create()
   */
  static create (): RowLocks {
    return new RowLocks()
  }

  /** Takes a lock for a transaction, waiting while another one holds it. */
  async acquire (row: string, transaction: symbol): Promise<void> {
    const endsAt = performance.now() + LOCK_WAIT_MS
    while (this.#holders.has(row) && this.#holders.get(row) !== transaction) {
      if (performance.now() > endsAt) throw new LockTimeoutError('deadlock detected')
      await this.#waitForRelease(endsAt)
    }
    this.#holders.set(row, transaction)
  }

  /** Gives back all locks of a transaction. */
  release (transaction: symbol): void {
    for (const [row, holder] of this.#holders) {
      if (holder === transaction) this.#holders.delete(row)
    }
    const waiters = [...this.#waiters]
    this.#waiters.clear()
    for (const wake of waiters) wake()
  }

  async #waitForRelease (endsAt: number): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, Math.max(1, endsAt - performance.now() + 1))
      this.#waiters.add(() => {
        clearTimeout(timer)
        resolve()
      })
    })
  }
}
