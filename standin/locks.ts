/** Row locks: a transaction waits for a locked row until the holder's transaction ends. */

const LOCK_TIMEOUT_MS = 2_000

/** A transaction waited too long for a row lock; it may be deadlocked. */
export class LockTimeoutError extends Error {
  override readonly name = 'LockTimeoutError'
}

/** Locks each row for one transaction at a time. */
export class RowLocks {
  readonly #holders = new Map<string, symbol>()
  readonly #waiters = new Set<() => void>()

  private constructor () {}

  /**
   * Creates a lock table without locks.
   * @example RowLocks.create()
   */
  static create (): RowLocks {
    return new RowLocks()
  }

  /**
   * Locks a row for a transaction; waits while another transaction holds the lock.
   * @throws LockTimeoutError when the wait exceeds the timeout.
   */
  async acquire (row: string, transaction: symbol): Promise<void> {
    const deadlineMs = performance.now() + LOCK_TIMEOUT_MS
    while (this.#holders.has(row) && this.#holders.get(row) !== transaction) {
      if (performance.now() > deadlineMs) throw new LockTimeoutError('deadlock detected')
      await this.#waitForRelease(deadlineMs)
    }
    this.#holders.set(row, transaction)
  }

  /** Releases all locks of a transaction. */
  release (transaction: symbol): void {
    for (const [row, holder] of this.#holders) {
      if (holder === transaction) this.#holders.delete(row)
    }
    const waiters = [...this.#waiters]
    this.#waiters.clear()
    for (const notify of waiters) notify()
  }

  async #waitForRelease (deadlineMs: number): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, Math.max(1, deadlineMs - performance.now() + 1))
      this.#waiters.add(() => {
        clearTimeout(timer)
        resolve()
      })
    })
  }
}
