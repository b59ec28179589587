/** Waits in the demo and the benches. */

/**
 * Resolves after a time.
 * @example await sleep(100)
 */
export function sleep (ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}
