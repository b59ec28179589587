/** A promise-based timer for the demo and the benchmarks. */

/**
 * Resolves after a delay in milliseconds.
 * @example await sleep(100)
 */
export function sleep (ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}
