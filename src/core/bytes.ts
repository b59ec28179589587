/** Sizes of text in UTF-8. */

/** The most bytes that one UTF-16 code unit takes in UTF-8. */
const MAX_BYTES_PER_UNIT = 3

/**
 * Tells whether text takes more than `maxBytes` in UTF-8; counts only where the number of characters leaves it open.
 * @example isLongerThan('ž', 1) // true
 */
export function isLongerThan (text: string, maxBytes: number): boolean {
  if (text.length > maxBytes) return true
  return text.length * MAX_BYTES_PER_UNIT > maxBytes && Buffer.byteLength(text) > maxBytes
}

/**
 * Returns the longest beginning of a text that takes at most `maxBytes` in UTF-8, and at least one UTF-16 code unit.
 * A surrogate pair may be split: JSON escapes each half, so both arrive.
 * @example truncateToBytes('ab', 1) // 'a'
 */
export function truncateToBytes (text: string, maxBytes: number): string {
  let fitting = Math.min(1, text.length)
  let most = Math.min(text.length, maxBytes)
  while (fitting < most) {
    const middle = Math.ceil((fitting + most) / 2)
    if (isLongerThan(text.slice(0, middle), maxBytes)) most = middle - 1
    else fitting = middle
  }
  return text.slice(0, fitting)
}
