/** Token bucket with a rate and a burst. */
const MS_PER_SECOND = 1_000

/** State of a token bucket. */
export interface TokenBucket {
  /** Tokens per second. */
  readonly rate: number
  readonly burst: number
  readonly tokens: number
  readonly refilledAtMs: number
}

/**
 * Creates an empty bucket, since a restarted host does not know how many tokens it has spent.
 * @example createBucket(100, 20, moment.monotonicMs)
 */
export function createBucket (rate: number, burst: number, nowMs: number): TokenBucket {
  return { rate, burst, tokens: 0, refilledAtMs: nowMs }
}

/**
 * Adds the tokens that accrued since the last refill.
 * @example refillBucket(bucket, moment.monotonicMs).tokens
 */
export function refillBucket (bucket: TokenBucket, nowMs: number): TokenBucket {
  const elapsedMs = Math.max(0, nowMs - bucket.refilledAtMs)
  const tokens = Math.min(bucket.burst, bucket.tokens + elapsedMs * bucket.rate / MS_PER_SECOND)
  return { ...bucket, tokens, refilledAtMs: nowMs }
}

/**
 * Changes the rate and burst of a bucket; tokens above the new burst are discarded.
 * @example resizeBucket(bucket, 50, 10, moment.monotonicMs)
 */
export function resizeBucket (bucket: TokenBucket, rate: number, burst: number, nowMs: number): TokenBucket {
  const filled = refillBucket(bucket, nowMs)
  return { ...filled, rate, burst, tokens: Math.min(filled.tokens, burst) }
}
