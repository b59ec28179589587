/** Waits for a condition by asking again and again. */

const POLL_EVERY_MS = 20

/**
 * Waits until a condition holds; what it throws counts as "not yet".
 * @example await pollUntil('a primary', async () => await findPrimary() !== undefined, 10_000)
 */
export async function pollUntil (what: string, holds: () => Promise<boolean>, withinMs = 20_000): Promise<void> {
  const endsAt = performance.now() + withinMs
  let last: unknown
  while (performance.now() < endsAt) {
    try {
      if (await holds()) return
    } catch (error) {
      last = error
    }
    await new Promise(resolve => setTimeout(resolve, POLL_EVERY_MS))
  }
  throw new Error(`waited in vain for ${what}`, { cause: last })
}
