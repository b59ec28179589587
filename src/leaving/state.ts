/** What a host knows of the price of reads in other failure domains. */

/** A measured figure that counts less the older it is. */
export interface MeasuredMs {
  readonly ms: number
  readonly atMs: number
}

/** Settings of the decision. */
export interface LeavingSettings {
  /** What a KiB between failure domains costs, as a time that its read may wait at home instead. */
  readonly priceMsPerKib: number
}

/** Figures of one host. */
export interface LeavingState {
  readonly settings: LeavingSettings
  /** Time of a round trip to the owners of a failure domain, without the time at the owner. */
  readonly paths: ReadonlyMap<string, MeasuredMs>
  /** How long statements of a group run. */
  readonly runs: ReadonlyMap<string, MeasuredMs>
  /** Bytes of an answer, by group. */
  readonly bytes: ReadonlyMap<string, number>
}

/**
 * Creates the state of a host that has measured nothing.
 * @example createLeavingState({ priceMsPerKib: 1 }).paths.size // 0
 */
export function createLeavingState (settings: LeavingSettings): LeavingState {
  return { settings, paths: new Map(), runs: new Map(), bytes: new Map() }
}
