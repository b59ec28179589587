/** Counts what callers saw. */

/** One acknowledged write. */
export interface AcknowledgedWrite {
  readonly group: string
  readonly workspace: string
  readonly id: string
  readonly atMs: number
}

/** What one workspace asked and got. */
export interface WorkspaceTally {
  readonly asked: number
  readonly answered: number
}

/** Collects the callers' outcomes while the load runs. */
export class Tally {
  readonly #writes: AcknowledgedWrite[] = []
  readonly #workspaces = new Map<string, WorkspaceTally>()
  readonly #failures = new Map<string, number>()
  statements = 0
  reads = 0
  readsFromReplicas = 0
  staleReads = 0
  refusedWithinRate = 0
  /** Writes whose outcome their caller does not know. */
  unknownWrites = 0

  private constructor () {}

  /**
   * Creates an empty tally.
   * @example Tally.create().statements // 0
   */
  static create (): Tally {
    return new Tally()
  }

  /** All acknowledged writes, in the order of their acknowledgement. */
  get writes (): readonly AcknowledgedWrite[] {
    return this.#writes
  }

  /** Failures by SQLSTATE. */
  get failures (): Readonly<Record<string, number>> {
    return Object.fromEntries(this.#failures)
  }

  /** The smallest share of its requests that a workspace got answered. */
  get worstWorkspaceShare (): number {
    const shares = [...this.#workspaces.values()].filter(({ asked }) => asked > 0).map(({ asked, answered }) => answered / asked)
    return shares.length === 0 ? 0 : Math.min(...shares)
  }

  /** Counts an acknowledged write. */
  addWrite (write: AcknowledgedWrite): void {
    this.#writes.push(write)
  }

  /** Counts a request of a workspace. */
  addRequest (workspace: string, answered: boolean): void {
    const known = this.#workspaces.get(workspace) ?? { asked: 0, answered: 0 }
    this.#workspaces.set(workspace, { asked: known.asked + 1, answered: known.answered + (answered ? 1 : 0) })
  }

  /** Counts a failure. */
  addFailure (sqlState: string): void {
    this.#failures.set(sqlState, (this.#failures.get(sqlState) ?? 0) + 1)
  }
}

/**
 * Returns the longest time between two acknowledged writes of a group, from a time on.
 * @example findGap(tally.writes, 'register-1', killedAtMs)
 */
export function findGap (writes: readonly AcknowledgedWrite[], group: string, fromMs: number, toMs: number): number {
  const times = writes.filter(write => write.group === group && write.atMs >= fromMs).map(write => write.atMs)
  const points = [fromMs, ...times, toMs]
  return Math.max(...points.slice(1).map((time, index) => time - points[index]!))
}
