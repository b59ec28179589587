/** Decisions on this host's lease: it tells the leader the demand here, and holds the shares that the leader leases to it. */
import type { CoreEffect, Moment } from '../core/message.js'
import { UNCHANGED } from '../core/store.js'
import type { Workspace } from '../documents/document.js'
import { sendPeer, setTimer } from '../messages.js'
import type { Demand, HeldShare } from '../shares/messages.js'
import { LOAN_MS, SHARE_LEASE_MS } from '../shares/state.js'
import { addTokens, changeParts, createAllowance, isUnused, refillAllowance, updateDemand } from './allowance.js'
import type { LeaderChanged, SharesAnswered } from './messages.js'
import type { AdmissionStep, AdmissionStore } from './rates.js'
import type { Allowance, Lease } from './state.js'

/** Time between two renewals of the lease. */
export const ASK_EVERY_MS = 200
/** The same while this host holds no share: its first ones come with the second answer. */
const ASK_SOON_MS = 100
/** A demand is told again once it differs by more than this part from what was told. */
const DEMAND_TOLERANCE = 0.2
/** After this many rounds every demand is told, in case an ask was lost. */
const ROUNDS_TO_TELL_ALL = 5

/**
 * Follows another leader. Shares stay in use until their lease ends.
 * @example followLeader(store, { kind: 'admission/leader-changed', leader: 'host-2', epoch: 4 }, moment)
 */
export function followLeader (store: AdmissionStore, message: LeaderChanged, moment: Moment): AdmissionStep {
  const { lease } = store.shared
  const holder = lease.holder === '' ? drawHolder(moment) : lease.holder
  const moved = message.epoch === lease.epoch ? lease : { ...lease, applied: 0, askedAtMs: new Map() }
  // A loan of the leader before may still arrive.
  const emptySinceMs = lease.loans > 0 && moved !== lease ? moment.monotonicMs + LOAN_MS : lease.emptySinceMs
  const next: Lease = { ...moved, leader: message.leader, epoch: message.epoch, holder, emptySinceMs }
  // A new leader gives shares once all hosts have reported; they don't all do so at the same moment.
  return { shared: { ...store.shared, lease: next }, effects: [createAskTimer(moment.random * ASK_SOON_MS)] }
}

/**
 * Renews the lease and tells the demand; a host without either asks for nothing.
 * @example askShares(store, moment)
 */
export function askShares (store: AdmissionStore, moment: Moment): AdmissionStep {
  const { shared } = store
  const current = dropEnded(shared.lease, moment)
  const ended = current.holder !== shared.lease.holder
  const round = current.round + 1
  const all = current.applied === 0 || round % ROUNDS_TO_TELL_ALL === 0
  const elapsedMs = moment.monotonicMs - current.countedAtMs
  const counted = [...store.items].map(([key, item]) => {
    const filled = refillAllowance(item, item, current.endsAtMs, moment.monotonicMs)
    return [key, updateDemand(ended ? { ...filled, parts: 0 } : filled, elapsedMs)] as const
  })
  const demands = counted.filter(([, item]) => all || isNews(item)).map(([workspace, item]): Demand => ({ workspace, perSecond: item.perSecond }))
  const lease: Lease = { ...current, round, countedAtMs: moment.monotonicMs, askedAtMs: markAsked(current, round, moment) }
  const changes = counted.map(([key, item]) => [key, createTold(item, all)] as const)
  const asks = lease.leader === undefined || !shared.serves || (counted.length === 0 && lease.applied > 0) ? [] : [sendAsk(lease, demands, listHeld(lease, counted), moment)]
  const holds = counted.some(([, item]) => item.parts > 0)
  return { shared: { ...shared, lease }, changes, effects: [...asks, createAskTimer(holds || !shared.serves ? ASK_EVERY_MS : ASK_SOON_MS)] }
}

/**
 * Takes the leader's answer: the lease counts from when this host asked.
 * @example takeShares(store, { kind: 'admission/shares-answered', holder, epoch: 3, round: 7, shares: [] }, moment)
 */
export function takeShares (store: AdmissionStore, message: SharesAnswered, moment: Moment): AdmissionStep {
  const { lease } = store.shared
  const askedAtMs = lease.askedAtMs.get(message.round)
  const late = askedAtMs === undefined || moment.monotonicMs > askedAtMs + SHARE_LEASE_MS
  if (late || message.holder !== lease.holder || message.epoch !== lease.epoch || message.round <= lease.applied) return UNCHANGED
  const parts = new Map(message.shares.map(share => [share.workspace, share.parts]))
  const tokens = new Map(message.shares.map(share => [share.workspace, share.tokens ?? 0]))
  // The first answer of a leader is its whole account of this host.
  const dropped = lease.applied > 0 ? [] : [...store.items.keys()].filter(key => !parts.has(key)).map(key => [key, 0] as const)
  const changes = [...parts, ...dropped].map(([key, given]) => {
    const known = store.items.get(key) ?? createAllowance(findLimit(store, key), moment.monotonicMs)
    const filled = refillAllowance(known, known, lease.endsAtMs, moment.monotonicMs)
    return [key, addTokens(changeParts(filled, given, moment.monotonicMs), tokens.get(key) ?? 0)] as const
  })
  const next: Lease = { ...lease, applied: message.round, endsAtMs: Math.max(lease.endsAtMs, askedAtMs + SHARE_LEASE_MS) }
  return { shared: { ...store.shared, lease: next }, changes, effects: [] }
}

// A share fills from when it is given, also before the first request.
function findLimit ({ shared }: AdmissionStore, key: string): Pick<Workspace, 'rate' | 'burst'> {
  const slash = key.indexOf('/')
  return shared.indexes.get(key.slice(0, slash))?.workspaces.get(key.slice(slash + 1)) ?? { rate: 0, burst: 0 }
}

// After its lease a host holds nothing, and says so by another name.
function dropEnded (lease: Lease, moment: Moment): Lease {
  const ended = lease.endsAtMs > 0 && moment.monotonicMs > lease.endsAtMs
  return ended ? { ...lease, holder: drawHolder(moment), emptySinceMs: moment.monotonicMs, applied: 0, endsAtMs: 0, askedAtMs: new Map() } : lease
}

function drawHolder (moment: Moment): string {
  return `${moment.wallMs.toString(36)}-${moment.random.toString(36).slice(2)}`
}

function markAsked (lease: Lease, round: number, moment: Moment): ReadonlyMap<number, number> {
  const open = [...lease.askedAtMs].filter(([, askedMs]) => moment.monotonicMs - askedMs <= SHARE_LEASE_MS)
  return new Map([...open, [round, moment.monotonicMs]])
}

function isNews (item: Allowance): boolean {
  return Math.abs(item.perSecond - item.told) > item.told * DEMAND_TOLERANCE
}

function createTold (item: Allowance, all: boolean): Allowance | undefined {
  const told = all || isNews(item) ? item.perSecond : item.told
  const next: Allowance = { ...item, told }
  return isUnused(next) && !isNews(item) ? undefined : next
}

function listHeld (lease: Lease, counted: ReadonlyArray<readonly [string, Allowance]>): readonly HeldShare[] | undefined {
  if (lease.applied > 0) return undefined
  return counted.filter(([, item]) => item.parts > 0).map(([workspace, item]) => ({ workspace, parts: item.parts }))
}

function sendAsk (lease: Lease, demands: readonly Demand[], held: readonly HeldShare[] | undefined, moment: Moment): CoreEffect {
  const { holder, epoch, round, applied, endsAtMs } = lease
  const emptyForMs = endsAtMs === 0 ? moment.monotonicMs - lease.emptySinceMs : undefined
  return sendPeer(lease.leader!, { kind: 'shares/asked', holder, epoch, round, applied, demands, held, emptyForMs })
}

function createAskTimer (afterMs: number): CoreEffect {
  return setTimer('admission/ask', afterMs, { kind: 'admission/ask-due' })
}
