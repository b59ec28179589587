/** A token bucket: a rate and a burst. */
const MS_PER_SECOND = 1_000

/** Tokens in hand, and when they were counted. */
export interface Bucket {
  /** Tokens a second. */
  readonly rate: number
  readonly burst: number
  readonly tokens: number
  readonly countedAtMs: number
}

/**
 * Creates an empty bucket: what a restarted host may have spent is unknown.
 * @example createBucket(100, 20, moment.monotonicMs)
 */
export function createBucket (rate: number, burst: number, nowMs: number): Bucket {
  return { rate, burst, tokens: 0, countedAtMs: nowMs }
}

/**
 * Adds the tokens that came in since the last count.
 * @example refillBucket(bucket, moment.monotonicMs).tokens
 */
export function refillBucket (bucket: Bucket, nowMs: number): Bucket {
  const elapsedMs = Math.max(0, nowMs - bucket.countedAtMs)
  const tokens = Math.min(bucket.burst, bucket.tokens + elapsedMs * bucket.rate / MS_PER_SECOND)
  return { ...bucket, tokens, countedAtMs: nowMs }
}

/**
 * Changes a bucket's rate and burst; tokens over the new burst are lost.
 * @example resizeBucket(bucket, 50, 10, moment.monotonicMs)
 */
export function resizeBucket (bucket: Bucket, rate: number, burst: number, nowMs: number): Bucket {
  const filled = refillBucket(bucket, nowMs)
  return { ...filled, rate, burst, tokens: Math.min(filled.tokens, burst) }
}
