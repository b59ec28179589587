/**
 * Decisions of the shares slice, taken by the leader: it leases parts of each workspace's rate
 * and burst to the hosts where its requests arrive, and lends tokens from what is left.
 *
 * A part is given to a host only while no other host may hold it: until the host that gave it
 * up has confirmed that, or its lease has surely run out.
 */
import type { CoreEffect, Moment } from '../core/message.js'
import { UNCHANGED, type Store, type StoreStep } from '../core/store.js'
import { sendPeer, setTimer, tell } from '../messages.js'
import type { Asked, HeldShare, Leadership, LimitsChanged, SharesMessage, Wanted } from './messages.js'
import { changeCommitted, chooseParts, createAllotment, endLoans, giveTokens, readNextMs, refillReserve } from './reserve.js'
import { LEASE_SLACK_MS, LOAN_MS, LOAN_SLACK_MS, RESERVE_PARTS, SHARE_LEASE_MS, TOTAL_PARTS, readCommitted, type Allotment, type Grant, type Holder, type KnownLimit, type Share, type SharesItem, type SharesShared } from './state.js'

const SWEEP_EVERY_MS = 250
/** A workspace that no document names any more: nothing is given of it. */
const NO_LIMIT = { rate: 0, burst: 0, sinceMs: 0 }
const NO_SHARE: Share = { perSecond: 0, grants: [] }

type SharesStore = Store<SharesShared, SharesItem>
type SharesStep = StoreStep<SharesShared, SharesItem, CoreEffect>

interface ShareStep {
  readonly allotment: Allotment
  readonly share: Share
  /** Tokens that come with a share that grew. */
  readonly tokens?: number
}

/**
 * Decides on one message of the shares slice.
 * @example decideShares(store, { kind: 'shares/leadership', leads: true, epoch: 3 }, moment)
 */
export function decideShares (store: SharesStore, message: SharesMessage, moment: Moment): SharesStep {
  switch (message.kind) {
    case 'shares/leadership': return takeLeadership(store, message, moment)
    case 'shares/lease-extended': return { shared: { ...store.shared, leaseUntilMs: message.untilMs }, effects: [] }
    case 'shares/limits-changed': return takeLimits(store, message, moment)
    case 'shares/asked': return answerAsked(store, message, moment)
    case 'shares/wanted': return answerWanted(store, message, moment)
    case 'shares/registered': return { shared: { ...store.shared, holders: message.holders }, effects: [] }
    case 'shares/sweep-due': return sweepHolders(store, moment)
  }
}

// What hosts hold of the leader before is in use until it ran out, so a new leader
// starts with renewals, and with loans from the part that is never given as shares.
function takeLeadership (store: SharesStore, message: Leadership, moment: Moment): SharesStep {
  const { leads, epoch } = message
  if (leads === store.shared.leads && epoch === store.shared.epoch) return UNCHANGED
  const dropped = [...store.items.keys()].map(key => [key, undefined] as const)
  const lendsFromMs = moment.monotonicMs + LOAN_MS + LOAN_SLACK_MS
  const awaited = new Set(Object.keys(store.shared.holders ?? {}))
  const known = store.shared.holders !== undefined && awaited.size === 0
  const quietUntilMs = known ? moment.monotonicMs : moment.monotonicMs + SHARE_LEASE_MS + LEASE_SLACK_MS
  const emptySinceMs = awaited.size === 0 ? Infinity : -Infinity
  return { shared: { ...store.shared, leads, epoch, leaseUntilMs: -Infinity, lendsFromMs, quietUntilMs, awaited, emptySinceMs }, changes: dropped, effects: leads ? [createSweepTimer()] : [] }
}

function takeLimits (store: SharesStore, message: LimitsChanged, moment: Moment): SharesStep {
  const limits = new Map([...store.shared.limits].filter(([workspace]) => !workspace.startsWith(`${message.service}/`)))
  for (const limit of message.limits) {
    limits.set(limit.workspace, { ...limit, sinceMs: store.shared.limits.get(limit.workspace)?.sinceMs ?? moment.monotonicMs })
  }
  return { shared: { ...store.shared, limits }, effects: [] }
}

function answerAsked (store: SharesStore, message: Asked, moment: Moment): SharesStep {
  const { shared } = store
  if (!isAnswering(shared, message.epoch, moment) || message.from === undefined) return UNCHANGED
  const known = store.items.get(`holder/${message.holder}`) as Holder | undefined
  // A holder that this leader has dropped must start from nothing.
  if (known === undefined ? message.applied > 0 : message.round <= known.round) return UNCHANGED
  const { from } = message
  const unregistered = shared.holders !== undefined && shared.holders[from] !== message.holder
  const perSecond = new Map(message.demands.map(demand => [demand.workspace, demand.perSecond]))
  const held = new Map(known === undefined ? message.held?.map(share => [share.workspace, share.parts]) : [])
  const steps = [...new Set([...shared.limits.keys(), ...known?.shares.keys() ?? [], ...perSecond.keys(), ...held.keys()])].map(workspace => {
    const share = known?.shares.get(workspace) ?? NO_SHARE
    const asked = { round: message.round, applied: message.applied, perSecond: perSecond.get(workspace) ?? share.perSecond, held: held.get(workspace) ?? 0, mayGrow: !unregistered }
    return updateShare(store, workspace, share, asked, moment)
  })
  const shares = new Map(steps.filter(step => isUsed(step.share)).map(step => [step.allotment.workspace, step.share]))
  const holder: Holder = { kind: 'holder', holder: message.holder, round: message.round, answeredAtMs: moment.monotonicMs, shares }
  const answer = sendPeer(from, { kind: 'admission/shares-answered', holder: message.holder, epoch: shared.epoch, round: message.round, shares: listUnconfirmed(steps, message.applied) })
  const registration = unregistered ? [tell({ kind: 'agreement/propose', proposal: `shares/${message.holder}`, command: { kind: 'shares/register', host: from, holder: message.holder } })] : []
  return { shared: endAwaiting(shared, message, moment), changes: [...steps.map(step => createChange(step.allotment)), [`holder/${message.holder}`, holder]], effects: [{ ...answer, notAfterMs: shared.leaseUntilMs }, ...registration] }
}

// Once all that may hold shares of the leader before have reported, or hold nothing under a new name, nothing is unknown.
function endAwaiting (shared: SharesShared, { from = '', holder, emptyForMs }: Asked, moment: Moment): SharesShared {
  if (!shared.awaited.has(from)) return shared
  const awaited = new Set(shared.awaited)
  awaited.delete(from)
  const isNew = emptyForMs !== undefined && shared.holders?.[from] !== holder
  const emptySinceMs = Math.max(shared.emptySinceMs, isNew ? moment.monotonicMs - emptyForMs : Infinity)
  return { ...shared, awaited, emptySinceMs, quietUntilMs: awaited.size === 0 ? Math.min(shared.quietUntilMs, moment.monotonicMs) : shared.quietUntilMs }
}

// Only while no other host leads: shares of two leaders could be more than the whole.
function isAnswering (shared: SharesShared, epoch: number, moment: Moment): boolean {
  return shared.leads && epoch === shared.epoch && moment.monotonicMs < shared.leaseUntilMs
}

interface AskedShare {
  readonly round: number
  readonly applied: number
  readonly perSecond: number
  readonly held: number
  readonly mayGrow: boolean
}

function updateShare (store: SharesStore, workspace: string, share: Share, asked: AskedShare, moment: Moment): ShareStep {
  const limit = findLimit(store.shared, workspace)
  const before = refillReserve(findAllotment(store, workspace, limit), limit, moment.monotonicMs)
  const confirmed: Share = { perSecond: asked.perSecond, grants: keepUnconfirmed(share.grants, asked.applied) }
  const settled = applyShare(before, limit, share, confirmed)
  const parts = moment.monotonicMs < store.shared.quietUntilMs || !asked.mayGrow
    ? Math.max(readCurrent(confirmed), Math.min(asked.held, TOTAL_PARTS - RESERVE_PARTS - settled.committed))
    : chooseParts(settled, limit, { perSecond: asked.perSecond, held: readCommitted(confirmed), current: readCurrent(confirmed) }, countHolders(store))
  if (parts === readCurrent(confirmed)) return { allotment: settled, share: confirmed }
  const next: Share = { ...confirmed, grants: [...confirmed.grants, { round: asked.round, parts }] }
  const allotment = applyShare(settled, limit, confirmed, next)
  return { allotment, share: next, tokens: readOverflow(settled, allotment, limit) }
}

// Tokens for which the reserve has no room any more go with the share that took it.
function readOverflow (before: Allotment, after: Allotment, limit: KnownLimit): number | undefined {
  const tokens = Math.min(before.tokens - after.tokens, limit.burst * (after.committed - before.committed) / TOTAL_PARTS)
  return tokens > 0 ? tokens : undefined
}

function countHolders (store: SharesStore): number {
  let holders = 0
  for (const item of store.items.values()) if (item.kind === 'holder') holders += 1
  return holders
}

// The last grant that the host confirmed, and all after it: it may come to hold any of them.
function keepUnconfirmed (grants: readonly Grant[], applied: number): readonly Grant[] {
  const confirmed = grants.filter(grant => grant.round <= applied)
  return [...confirmed.slice(-1), ...grants.slice(confirmed.length)]
}

function readCurrent (share: Share): number {
  return share.grants[share.grants.length - 1]?.parts ?? 0
}

function isUsed (share: Share): boolean {
  return share.perSecond > 0 || share.grants.length > 1 || readCommitted(share) > 0
}

function applyShare (allotment: Allotment, limit: KnownLimit, from: Share, to: Share): Allotment {
  const perSecond = Math.max(0, allotment.perSecond - from.perSecond + to.perSecond)
  return changeCommitted({ ...allotment, perSecond }, limit, allotment.committed - readCommitted(from) + readCommitted(to))
}

function listUnconfirmed (steps: readonly ShareStep[], applied: number): readonly HeldShare[] {
  return steps
    .filter(({ share }) => (share.grants[share.grants.length - 1]?.round ?? 0) > applied)
    .map(({ allotment, share, tokens }) => ({ workspace: allotment.workspace, parts: readCurrent(share), tokens }))
}

function findLimit (shared: SharesShared, workspace: string): KnownLimit {
  return shared.limits.get(workspace) ?? { workspace, ...NO_LIMIT }
}

function findAllotment (store: SharesStore, workspace: string, limit: KnownLimit): Allotment {
  const known = store.items.get(`workspace/${workspace}`) as Allotment | undefined
  const { quietUntilMs, awaited, lendsFromMs } = store.shared
  const emptySinceMs = awaited.size === 0 ? store.shared.emptySinceMs : Infinity
  if (known !== undefined) return known.quietUntilMs > quietUntilMs ? { ...known, quietUntilMs, emptySinceMs } : known
  return { ...createAllotment(workspace, Math.max(lendsFromMs, limit.sinceMs), quietUntilMs), emptySinceMs }
}

function createChange (allotment: Allotment): readonly [string, SharesItem] {
  return [`workspace/${allotment.workspace}`, allotment]
}

function answerWanted (store: SharesStore, message: Wanted, moment: Moment): SharesStep {
  const { shared } = store
  const { from, workspace, holder, loan } = message
  const limit = shared.limits.get(workspace)
  if (!isAnswering(shared, message.epoch, moment) || from === undefined || limit === undefined) return UNCHANGED
  const refilled = endLoans(refillReserve(findAllotment(store, workspace, limit), limit, moment.monotonicMs), message)
  const lent = giveTokens(refilled, limit, message, moment.monotonicMs)
  const answer = sendPeer(from, { kind: 'admission/lent', holder, loan, workspace, tokens: lent.tokens, nextMs: readNextMs(lent.allotment, limit, moment.monotonicMs) })
  return { changes: [createChange(lent.allotment)], effects: [{ ...answer, notAfterMs: shared.leaseUntilMs }] }
}

function sweepHolders (store: SharesStore, moment: Moment): SharesStep {
  if (!store.shared.leads) return UNCHANGED
  const endedBeforeMs = moment.monotonicMs - SHARE_LEASE_MS - LEASE_SLACK_MS
  const ended = [...store.items.values()].filter((item): item is Holder => item.kind === 'holder' && item.answeredAtMs < endedBeforeMs)
  const released = new Map<string, Allotment>()
  for (const { shares } of ended) {
    for (const [workspace, share] of shares) released.set(workspace, releaseShare(store, released.get(workspace), workspace, share, moment))
  }
  return {
    changes: [...ended.map(holder => [`holder/${holder.holder}`, undefined] as const), ...[...released.values()].map(createChange)],
    effects: [createSweepTimer()]
  }
}

function releaseShare (store: SharesStore, released: Allotment | undefined, workspace: string, share: Share, moment: Moment): Allotment {
  const limit = findLimit(store.shared, workspace)
  const before = refillReserve(released ?? findAllotment(store, workspace, limit), limit, moment.monotonicMs)
  return applyShare(before, limit, share, NO_SHARE)
}

function createSweepTimer (): CoreEffect {
  return setTimer('shares/sweep', SWEEP_EVERY_MS, { kind: 'shares/sweep-due' })
}
