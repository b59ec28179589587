/** Statistics of the generated load, as the callers observed it. */

/** One acknowledged write. */
export interface AcknowledgedWrite {
  readonly group: string
  readonly workspace: string
  readonly id: string
  readonly atMs: number
}

/** The requests of one workspace and how many of them were answered. */
export interface WorkspaceCounts {
  readonly requested: number
  readonly answered: number
}

/** Collects the outcomes of the callers' requests. */
export class LoadStatistics {
  readonly #writes: AcknowledgedWrite[] = []
  readonly #workspaces = new Map<string, WorkspaceCounts>()
  readonly #failures = new Map<string, number>()
  statements = 0
  reads = 0
  readsFromReplicas = 0
  staleReads = 0
  refusedWithinRate = 0
  /** Writes with an unknown outcome. */
  unknownWrites = 0

  private constructor () {}

  /**
   * Creates empty statistics.
   * @example LoadStatistics.create().statements // 0
   */
  static create (): LoadStatistics {
    return new LoadStatistics()
  }

  /** All acknowledged writes in the order of acknowledgement. */
  get writes (): readonly AcknowledgedWrite[] {
    return this.#writes
  }

  /** The number of failures by SQLSTATE. */
  get failures (): Readonly<Record<string, number>> {
    return Object.fromEntries(this.#failures)
  }

  /** The lowest fraction of answered requests over all workspaces. */
  get worstWorkspaceShare (): number {
    const shares = [...this.#workspaces.values()].filter(({ requested }) => requested > 0).map(({ requested, answered }) => answered / requested)
    return shares.length === 0 ? 0 : Math.min(...shares)
  }

  /** Records an acknowledged write. */
  addAcknowledgedWrite (write: AcknowledgedWrite): void {
    this.#writes.push(write)
  }

  /** Counts a request of a workspace and whether it was answered. */
  addRequest (workspace: string, answered: boolean): void {
    const counts = this.#workspaces.get(workspace) ?? { requested: 0, answered: 0 }
    this.#workspaces.set(workspace, { requested: counts.requested + 1, answered: counts.answered + (answered ? 1 : 0) })
  }

  /** Counts a failure by its SQLSTATE, or by another short reason without one. */
  addFailure (sqlState: string): void {
    this.#failures.set(sqlState, (this.#failures.get(sqlState) ?? 0) + 1)
  }
}

/**
 * Returns the longest time in milliseconds without an acknowledged write of a group, within a period.
 * @example findLongestGap(statistics.writes, 'register-1', killedAtMs, endedAtMs)
 */
export function findLongestGap (writes: readonly AcknowledgedWrite[], group: string, fromMs: number, toMs: number): number {
  const times = writes.filter(write => write.group === group && write.atMs >= fromMs).map(write => write.atMs)
  const points = [fromMs, ...times, toMs]
  return Math.max(...points.slice(1).map((time, index) => time - points[index]!))
}
