/** Waits for a condition by polling. */

const POLL_INTERVAL_MS = 20

/**
 * Polls until a condition holds; an error from the condition counts as not yet holding.
 * @example await pollUntil('a primary', async () => await findPrimary() !== undefined, 10_000)
 * @throws after `timeoutMs`, with the last error of the condition as its cause.
 */
export async function pollUntil (what: string, condition: () => Promise<boolean>, timeoutMs = 20_000): Promise<void> {
  const deadline = performance.now() + timeoutMs
  let lastError: unknown
  while (performance.now() < deadline) {
    try {
      if (await condition()) return
    } catch (error) {
      lastError = error
    }
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS))
  }
  throw new Error(`timed out waiting for ${what}`, { cause: lastError })
}
