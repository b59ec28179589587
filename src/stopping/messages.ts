/** Messages of the stopping slice: a graceful stop of this host. */

/** The platform wants the host to stop. */
export interface Asked {
  readonly kind: 'stopping/asked'
  /** How long the stop may take. */
  readonly limitMs: number
}

/** Time to see what still runs. */
export interface CheckDue {
  readonly kind: 'stopping/check-due'
}

/** A part of the host counted what it has under way. */
export interface Counted {
  readonly kind: 'stopping/counted'
  readonly part: Part
  readonly busy: number
}

/** The stop has taken as long as it may. */
export interface LimitPassed {
  readonly kind: 'stopping/limit-passed'
}

/** The balancer sends no new callers any more. */
export interface BalancerNoticed {
  readonly kind: 'stopping/balancer-noticed'
}

/** The parts that must come to rest: callers of this host, and work for the databases it owns. */
export type Part = 'requests' | 'transactions'

/** Any message of the stopping slice. */
export type StoppingMessage = Asked | CheckDue | Counted | LimitPassed | BalancerNoticed
