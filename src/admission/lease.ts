/** Decisions on this host's lease: it reports the local demand to the leader and applies the shares that the leader leases to it. */
import type { CoreEffect, Moment } from '../core/message.js'
import { UNCHANGED } from '../core/store.js'
import { sendPeer, setTimer } from '../messages.js'
import type { Demand, HeldShare, RenewalRequested } from '../shares/messages.js'
import { LOAN_MS, MAX_LOAN_MS, SHARE_LEASE_MS } from '../shares/state.js'
import { addTokens, createAllowance, isUnused, refillAllowance, resizeShare, updateDemand } from './allowance.js'
import { findLender, getSharesEndMs, updateLends } from './lending.js'
import type { LeaderChanged, LeaseRenewed, LendersChanged } from './messages.js'
import type { AdmissionStep, AdmissionStore } from './rates.js'
import { findLimit, type AdmissionShared, type Allowance, type ShareLease } from './state.js'

/** Interval between two renewals of the lease. */
export const RENEWAL_INTERVAL_MS = 200
/** Renewal interval of the first rounds without a share; the first shares arrive with the second answer. */
const FIRST_RENEWAL_INTERVAL_MS = 100
/** The number of these rounds. */
const FIRST_RENEWAL_ROUNDS = 10
/** Renewal interval of a host that got no share in these rounds: the workspaces are spread over too many hosts to be divided. */
const EMPTY_RENEWAL_INTERVAL_MS = 1_000
/** Renewal interval of a lender: its workspaces have no other holder that waits for a part of its shares. */
const LENDER_RENEWAL_INTERVAL_MS = 500
/** How long a lender waits for the answer to a renewal before it sends the next one: the leader may be short of processor time. */
const RENEWAL_TIMEOUT_MS = 1_000
/** The demand of a lender without loans, as a fraction of the rate. */
const IDLE_LENDER_FRACTION = 0.02
/** A demand is reported again once it differs by more than this fraction from the last reported value. */
const DEMAND_TOLERANCE = 0.2
/** Limit of a workspace that is in no document any more. */
const NO_LIMIT = { rate: 0, burst: 0 }
/** Every demand is reported again after this many rounds, in case a renewal was lost. */
const FULL_REPORT_ROUNDS = 5

/**
 * Switches to another leader. Shares stay valid until their lease expires.
 * @example changeLeader(store, { kind: 'admission/leader-changed', leader: 'host-2', epoch: 4 }, moment)
 */
export function changeLeader (store: AdmissionStore, message: LeaderChanged, moment: Moment): AdmissionStep {
  const { lease } = store.shared
  const holder = lease.holder === '' ? createHolderId(moment) : lease.holder
  const switched = message.epoch === lease.epoch ? lease : resetAnswers(lease)
  // A loan from the previous leader, or of a lender, may still arrive.
  const loanMs = store.shared.lenders.length === 0 ? LOAN_MS : MAX_LOAN_MS
  const emptySinceMs = lease.nextLoanId > 0 && switched !== lease ? moment.monotonicMs + loanMs : lease.emptySinceMs
  const next: ShareLease = { ...switched, leader: message.leader, epoch: message.epoch, holder, emptySinceMs, emptyRounds: 0 }
  // A new leader grants shares once all hosts have reported; the jitter spreads their reports.
  return { shared: { ...store.shared, lease: next }, effects: [createRenewalTimer(moment.random * FIRST_RENEWAL_INTERVAL_MS)] }
}

/**
 * Renews the lease and reports the demand; a host with neither shares nor demand sends nothing.
 * @example renewLease(store, moment)
 */
export function renewLease (store: AdmissionStore, moment: Moment): AdmissionStep {
  const { shared } = store
  const kept = resetExpired(shared.lease, moment)
  const counted = countDemand(store, kept, moment)
  const role = describeRole(shared, counted)
  const current = kept.borrowsFromRound !== undefined && role !== 'borrower' ? resetAnswers(kept) : kept
  const round = current.round + 1
  const reportsAll = current.applied === 0 || round % FULL_REPORT_ROUNDS === 0
  const demands = listChanged(counted, reportsAll)
  const changes = counted.map(([key, item]) => [key, markReported(item, reportsAll)] as const)
  const asked: ShareLease = { ...current, round, borrowsFromRound: role === 'borrower' ? current.borrowsFromRound ?? round : undefined, demandUpdatedAtMs: moment.monotonicMs }
  const isNeeded = asked.leader !== undefined && isRenewalNeeded(shared, asked, counted)
  const isSent = isNeeded && moment.monotonicMs >= asked.confirmsFromMs && !isAwaited(shared, current, moment)
  const lease: ShareLease = isSent ? { ...asked, sentAtMsByRound: recordRound(current, round, moment) } : asked
  const renewals = isSent ? [sendRenewal(lease, demands, listHeld(lease, counted), role, moment)] : []
  const emptyRounds = !isNeeded || isSettled(shared, counted) ? 0 : current.emptyRounds + 1
  return { shared: { ...shared, lease: { ...lease, emptyRounds } }, changes, effects: [...renewals, createRenewalTimer(computeRenewalIntervalMs(shared, emptyRounds))] }
}

// In a large fleet many lenders would ask a late leader again, and make it later. What an answer brings stays valid.
function isAwaited ({ lenders }: AdmissionShared, { sentAtMsByRound, applied }: ShareLease, { monotonicMs }: Moment): boolean {
  if (lenders.length === 0) return false
  return [...sentAtMsByRound].some(([round, sentAtMs]) => round > applied && monotonicMs - sentAtMs < RENEWAL_TIMEOUT_MS)
}

type CountedDemand = ReadonlyArray<readonly [string, Allowance]>

function countDemand ({ shared, items }: AdmissionStore, current: ShareLease, moment: Moment): CountedDemand {
  const isExpired = current.holder !== shared.lease.holder
  const elapsedMs = moment.monotonicMs - current.demandUpdatedAtMs
  const unused = [...shared.lends].filter(key => !items.has(key)).map(key => [key, createAllowance(findLimit(shared, key) ?? NO_LIMIT, moment.monotonicMs)] as const)
  return [...items, ...unused].map(([key, item]) => {
    const filled = refillAllowance(item, item, getSharesEndMs({ ...shared, lease: current }), moment.monotonicMs)
    const updated = updateDemand(isExpired ? { ...filled, parts: 0 } : filled, elapsedMs)
    return [key, shared.lenders.length === 0 ? updated : { ...updated, perSecond: computeLentPerSecond(shared, key, updated, item.arrived, moment) }] as const
  })
}

// A lender has a share before the first loan. Any other host of a large fleet returns what it holds, so that the lender gets it.
function computeLentPerSecond (shared: AdmissionShared, key: string, { rate, perSecond }: Allowance, arrived: number, moment: Moment): number {
  if (shared.lends.has(key)) return Math.max(perSecond, rate * IDLE_LENDER_FRACTION)
  return arrived === 0 && findLender(shared, key, moment) !== undefined ? 0 : perSecond
}

function listChanged (counted: CountedDemand, reportsAll: boolean): readonly Demand[] {
  return counted.filter(([, item]) => isWanted(item) && (reportsAll || isDemandChanged(item))).map(([workspace, item]) => ({ workspace, perSecond: item.perSecond }))
}

// A host of a large fleet has no demand of the workspaces whose tokens it borrows.
function isWanted (item: Allowance): boolean {
  return item.parts > 0 || item.perSecond > 0 || item.reportedPerSecond > 0
}

// A host that has nothing to say renews until the leader has answered once, so that the leader waits for no shares of it. A
// host that ceased to lend confirms thereby that it holds nothing. A control host of a small fleet never holds any.
function isRenewalNeeded ({ acceptsCallers }: AdmissionShared, { applied, borrowsFromRound }: ShareLease, counted: CountedDemand): boolean {
  if (counted.some(([, item]) => isWanted(item))) return true
  return borrowsFromRound === undefined ? applied === 0 && acceptsCallers : applied < borrowsFromRound
}

// In a large fleet, a host holds a share of each workspace that it lends, and of no other.
function isSettled ({ lenders, lends }: AdmissionShared, counted: CountedDemand): boolean {
  if (lenders.length === 0) return counted.some(([, item]) => item.parts > 0)
  return counted.every(([key, item]) => lends.has(key) === (item.parts > 0))
}

function computeRenewalIntervalMs ({ lenders }: AdmissionShared, emptyRounds: number): number {
  if (emptyRounds === 0) return lenders.length === 0 ? RENEWAL_INTERVAL_MS : LENDER_RENEWAL_INTERVAL_MS
  return emptyRounds <= FIRST_RENEWAL_ROUNDS ? FIRST_RENEWAL_INTERVAL_MS : EMPTY_RENEWAL_INTERVAL_MS
}

/**
 * Switches to other lenders. A host that lends other workspaces than before tells the leader soon.
 * @example changeLenders(shared, { kind: 'admission/lenders-changed', lenders: ['host-2'] }, moment)
 */
export function changeLenders (shared: AdmissionShared, { lenders }: LendersChanged, moment: Moment): AdmissionStep {
  // Most changes of the directory leave them as they are.
  const isSame = lenders.length === shared.lenders.length && lenders.every((lender, index) => lender === shared.lenders[index])
  if (isSame) return UNCHANGED
  const next = updateLends({ ...shared, lenders })
  return { shared: { ...next, lease: { ...next.lease, emptyRounds: 0 } }, effects: [createRenewalTimer(moment.random * FIRST_RENEWAL_INTERVAL_MS)] }
}

/**
 * Applies the leader's answer. The lease counts from the time at which this host sent the renewal.
 * @example applyShares(store, { kind: 'admission/shares-answered', holder, epoch: 3, round: 7, shares: [] }, moment)
 */
export function applyShares (store: AdmissionStore, message: LeaseRenewed, moment: Moment): AdmissionStep {
  const { lease } = store.shared
  const sentAtMs = lease.sentAtMsByRound.get(message.round)
  const late = sentAtMs === undefined || moment.monotonicMs > sentAtMs + SHARE_LEASE_MS
  if (late || message.holder !== lease.holder || message.epoch !== lease.epoch || message.round <= lease.applied) return UNCHANGED
  const parts = new Map(message.shares.map(share => [share.workspace, share.parts]))
  const tokens = new Map(message.shares.map(share => [share.workspace, share.tokens ?? 0]))
  // The first answer of a leader lists all shares of this host.
  const dropped = lease.applied > 0 ? [] : [...store.items.keys()].filter(key => !parts.has(key)).map(key => [key, 0] as const)
  const changes = [...parts, ...dropped].map(([key, given]) => {
    // A share accrues tokens from the time it is granted, even before the first request.
    const known = store.items.get(key) ?? createAllowance(findLimit(store.shared, key) ?? NO_LIMIT, moment.monotonicMs)
    const filled = refillAllowance(known, known, getSharesEndMs(store.shared), moment.monotonicMs)
    return [key, addTokens(resizeShare(filled, given, moment.monotonicMs), tokens.get(key) ?? 0)] as const
  })
  const shrunk = changes.filter(([key, next]) => next.parts < (store.items.get(key)?.parts ?? 0))
  const confirmsFromMs = Math.max(lease.confirmsFromMs, ...shrunk.flatMap(([, { lent }]) => lent.map(({ expiresAtMs }) => expiresAtMs)))
  const next: ShareLease = { ...lease, confirmsFromMs, applied: message.round, endsAtMs: Math.max(lease.endsAtMs, sentAtMs + SHARE_LEASE_MS) }
  return { shared: { ...store.shared, lease: next }, changes, effects: [] }
}

// After its lease expired a host holds nothing, and shows it by a new holder id.
function resetExpired (lease: ShareLease, moment: Moment): ShareLease {
  const expired = lease.endsAtMs > 0 && moment.monotonicMs > lease.endsAtMs
  return expired ? { ...resetAnswers(lease), holder: createHolderId(moment), emptySinceMs: moment.monotonicMs, endsAtMs: 0 } : lease
}

// The leader has to learn of this host as of one that it has never heard of.
function resetAnswers (lease: ShareLease): ShareLease {
  return { ...lease, applied: 0, borrowsFromRound: undefined, sentAtMsByRound: new Map() }
}

function createHolderId (moment: Moment): string {
  return `${moment.wallMs.toString(36)}-${moment.random.toString(36).slice(2)}`
}

function recordRound (lease: ShareLease, round: number, moment: Moment): ReadonlyMap<number, number> {
  const unanswered = [...lease.sentAtMsByRound].filter(([, sentAtMs]) => moment.monotonicMs - sentAtMs <= SHARE_LEASE_MS)
  return new Map([...unanswered, [round, moment.monotonicMs]])
}

function isDemandChanged (item: Allowance): boolean {
  return Math.abs(item.perSecond - item.reportedPerSecond) > item.reportedPerSecond * DEMAND_TOLERANCE
}

function describeRole ({ lenders }: AdmissionShared, counted: CountedDemand): RenewalRequested['role'] {
  if (lenders.length === 0) return undefined
  return counted.some(([, item]) => isWanted(item)) ? 'lender' : 'borrower'
}

function markReported (item: Allowance, reportsAll: boolean): Allowance | undefined {
  const reportedPerSecond = reportsAll || isDemandChanged(item) ? item.perSecond : item.reportedPerSecond
  const next: Allowance = { ...item, reportedPerSecond }
  return isUnused(next) && !isDemandChanged(item) ? undefined : next
}

function listHeld (lease: ShareLease, counted: CountedDemand): readonly HeldShare[] | undefined {
  if (lease.applied > 0) return undefined
  return counted.filter(([, item]) => item.parts > 0).map(([workspace, item]) => ({ workspace, parts: item.parts }))
}

function sendRenewal (lease: ShareLease, demands: readonly Demand[], held: readonly HeldShare[] | undefined, role: RenewalRequested['role'], moment: Moment): CoreEffect {
  const { holder, epoch, round, applied, endsAtMs } = lease
  const emptyForMs = endsAtMs === 0 ? moment.monotonicMs - lease.emptySinceMs : undefined
  return sendPeer(lease.leader!, { kind: 'shares/asked', holder, epoch, round, applied, demands, held, emptyForMs, role })
}

function createRenewalTimer (afterMs: number): CoreEffect {
  return setTimer('admission/ask', afterMs, { kind: 'admission/ask-due' })
}
