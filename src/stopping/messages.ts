/** Messages of the stopping slice, which stops this host gracefully. */

/** The platform requests a graceful stop. */
export interface StopRequested {
  readonly kind: 'stopping/asked'
  /** The time limit of the stop, in milliseconds. */
  readonly limitMs: number
}

/** It is time to count the work in flight. */
export interface CheckDue {
  readonly kind: 'stopping/check-due'
}

/** A slice or the front end counted its work in flight. */
export interface WorkCounted {
  readonly kind: 'stopping/counted'
  readonly part: DrainedPart
  /** The number of callers with a request or transaction in flight, or with an answer that was not sent in full. */
  readonly busy: number
  /** How many of them are connected to this host, and are thus counted by the requests slice as well. */
  readonly local?: number
}

/** Requests in flight have had their time: they are answered now, and the process ends once that is done. */
export interface EndDue {
  readonly kind: 'stopping/end-due'
}

/** The time limit of the stop has passed. */
export interface TimeLimitPassed {
  readonly kind: 'stopping/limit-passed'
}

/** The load balancer has had time to stop sending new callers. */
export interface BalancerDelayPassed {
  readonly kind: 'stopping/balancer-noticed'
}

/**
 * What must be drained: requests of this host's callers, transactions on the databases that it owns, and answers that callers
 * have not read. An answer is given only once the process holds no byte of it.
 */
export type DrainedPart = 'requests' | 'transactions' | 'answers'

/** Any message of the stopping slice. */
export type StoppingMessage = StopRequested | CheckDue | WorkCounted | EndDue | TimeLimitPassed | BalancerDelayPassed
