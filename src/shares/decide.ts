/**
 * Decisions of the shares slice, which runs on the leader. The leader leases shares of each
 * workspace's rate and burst to the hosts where its requests arrive, and lends tokens from the
 * remaining reserve.
 *
 * A share is granted only when no other host may still hold it: the previous holder has confirmed
 * its smaller share, or its lease has expired with a margin for clock drift.
 */
import type { CoreEffect, Moment } from '../core/message.js'
import { UNCHANGED, type Store, type StoreStep } from '../core/store.js'
import { sendPeer, setTimer, tell } from '../messages.js'
import type { HeldShare, LeadershipChanged, LimitsChanged, LoanRequested, RenewalRequested, SharesMessage } from './messages.js'
import { chooseParts, createQuota, hasIdleShare, estimateNextTokenMs, grantLoan, refillReserve, releaseLoans, setCommitted } from './reserve.js'
import { getCommittedParts, LEASE_DRIFT_MARGIN_MS, LOAN_DRIFT_MARGIN_MS, LOAN_MS, MAX_LOAN_MS, RESERVE_PARTS, SHARE_LEASE_MS, TOTAL_PARTS, type Holder, type KnownLimit, type Share, type ShareGrant, type SharesItem, type SharesShared, type WorkspaceQuota } from './state.js'

const SWEEP_INTERVAL_MS = 250
/** Limit of a workspace that is in no document any more: no shares are granted. */
const NO_LIMIT = { rate: 0, burst: 0, knownSinceMs: 0 }
const NO_SHARE: Share = { perSecond: 0, grants: [] }

type SharesStore = Store<SharesShared, SharesItem>
type SharesStep = StoreStep<SharesShared, SharesItem, CoreEffect>

interface ShareUpdate {
  readonly quota: WorkspaceQuota
  readonly share: Share
  /** Tokens that are granted with a larger share. */
  readonly tokens?: number
}

/**
 * Decides on one message of the shares slice.
 * @example decideShares(store, { kind: 'shares/leadership', leads: true, epoch: 3 }, moment)
 */
export function decideShares (store: SharesStore, message: SharesMessage, moment: Moment): SharesStep {
  switch (message.kind) {
    case 'shares/leadership': return changeLeadership(store, message, moment)
    case 'shares/lease-extended': return { shared: { ...store.shared, leaseUntilMs: message.untilMs }, effects: [] }
    case 'shares/limits-changed': return updateLimits(store, message, moment)
    case 'shares/asked': return answerRenewal(store, message, moment)
    case 'shares/wanted': return answerLoanRequest(store, message, moment)
    case 'shares/registered': return { shared: { ...store.shared, holders: message.holders }, effects: [] }
    case 'shares/sweep-due': return expireHolders(store, moment)
  }
}

// Shares of the previous leader stay in use until their lease expires, so a new leader starts
// with renewals, and with loans from the reserve that is never granted as shares.
function changeLeadership (store: SharesStore, message: LeadershipChanged, moment: Moment): SharesStep {
  const { leads, epoch } = message
  if (leads === store.shared.leads && epoch === store.shared.epoch) return UNCHANGED
  const removed = [...store.items.keys()].map(key => [key, undefined] as const)
  const priorLoansUntilMs = moment.monotonicMs + LOAN_MS + LOAN_DRIFT_MARGIN_MS
  const unreportedHosts = new Set(Object.keys(store.shared.holders ?? {}))
  const allReported = store.shared.holders !== undefined && unreportedHosts.size === 0
  const priorSharesUntilMs = allReported ? moment.monotonicMs : moment.monotonicMs + SHARE_LEASE_MS + LEASE_DRIFT_MARGIN_MS
  const emptySinceMs = unreportedHosts.size === 0 ? Infinity : -Infinity
  return { shared: { ...store.shared, leads, epoch, leaseUntilMs: -Infinity, priorLoansUntilMs, priorSharesUntilMs, unreportedHosts, emptySinceMs }, changes: removed, effects: leads ? [createSweepTimer()] : [] }
}

function updateLimits (store: SharesStore, message: LimitsChanged, moment: Moment): SharesStep {
  const limits = new Map([...store.shared.limits].filter(([workspace]) => !workspace.startsWith(`${message.service}/`)))
  for (const limit of message.limits) {
    limits.set(limit.workspace, { ...limit, knownSinceMs: store.shared.limits.get(limit.workspace)?.knownSinceMs ?? moment.monotonicMs })
  }
  return { shared: { ...store.shared, limits }, effects: [] }
}

function answerRenewal (store: SharesStore, message: RenewalRequested, moment: Moment): SharesStep {
  const { shared } = store
  if (!isWithinLease(shared, message.epoch, moment) || message.from === undefined) return UNCHANGED
  const known = store.items.get(`holder/${message.holder}`) as Holder | undefined
  // A holder that this leader no longer knows has to start without shares.
  if (known === undefined ? message.applied > 0 : message.round <= known.round) return UNCHANGED
  const { from } = message
  if (message.role === 'borrower' && known === undefined) return answerBorrower(shared, message, from, moment)
  const unregistered = shared.holders !== undefined && shared.holders[from] !== message.holder
  const perSecond = new Map(message.demands.map(demand => [demand.workspace, demand.perSecond]))
  const held = new Map(known === undefined ? message.held?.map(share => [share.workspace, share.parts]) : [])
  const holders = countHolders(store)
  const lends = message.role === 'lender'
  const idle = lends ? [] : [...shared.limits.values()].filter(limit => hasIdleShare(limit, holders)).map(limit => limit.workspace)
  const steps = [...new Set([...idle, ...known?.shares.keys() ?? [], ...perSecond.keys(), ...held.keys()])].map(workspace => {
    const share = known?.shares.get(workspace) ?? NO_SHARE
    const request: ShareRequest = { holder: message.holder, round: message.round, applied: message.applied, perSecond: perSecond.get(workspace) ?? share.perSecond, held: held.get(workspace) ?? 0, mayGrow: !unregistered, holders: lends ? 0 : holders }
    return updateShare(store, workspace, share, request, moment)
  })
  const shares = new Map(steps.filter(step => isUsed(step.share)).map(step => [step.quota.workspace, step.share]))
  const firstSeenAtMs = known?.firstSeenAtMs ?? moment.monotonicMs
  const holder: Holder = { kind: 'holder', holder: message.holder, host: from, lends: lends || known?.lends === true, firstSeenAtMs, isConfirmed: message.applied > 0, round: message.round, renewedAtMs: moment.monotonicMs, shares }
  const answer = sendPeer(from, { kind: 'admission/shares-answered', holder: message.holder, epoch: shared.epoch, round: message.round, shares: listUnconfirmed(steps, message.applied) })
  const registration = unregistered ? [tell({ kind: 'agreement/propose', proposal: `shares/${message.holder}`, command: { kind: 'shares/register', host: from, holder: message.holder } })] : []
  return { shared: recordReport(shared, message, moment), changes: [...steps.map(step => createChange(step.quota)), [`holder/${message.holder}`, holder]], effects: [{ ...answer, notAfterMs: shared.leaseUntilMs }, ...registration] }
}

function answerBorrower (shared: SharesShared, message: RenewalRequested, from: string, moment: Moment): SharesStep {
  const answer = sendPeer(from, { kind: 'admission/shares-answered', holder: message.holder, epoch: shared.epoch, round: message.round, shares: [] })
  return { shared: recordReport(shared, message, moment), effects: [{ ...answer, notAfterMs: shared.leaseUntilMs }] }
}

// The wait for prior shares ends once every host that may hold some has reported, or holds nothing under a new id.
function recordReport (shared: SharesShared, { from = '', holder, emptyForMs }: RenewalRequested, moment: Moment): SharesShared {
  if (!shared.unreportedHosts.has(from)) return shared
  const unreportedHosts = new Set(shared.unreportedHosts)
  unreportedHosts.delete(from)
  const isNew = emptyForMs !== undefined && shared.holders?.[from] !== holder
  const emptySinceMs = Math.max(shared.emptySinceMs, isNew ? moment.monotonicMs - emptyForMs : Infinity)
  return { ...shared, unreportedHosts, emptySinceMs, priorSharesUntilMs: unreportedHosts.size === 0 ? Math.min(shared.priorSharesUntilMs, moment.monotonicMs) : shared.priorSharesUntilMs }
}

// Answers only within the leader lease: shares of two leaders could exceed the limit.
function isWithinLease (shared: SharesShared, epoch: number, moment: Moment): boolean {
  return shared.leads && epoch === shared.epoch && moment.monotonicMs < shared.leaseUntilMs
}

interface ShareRequest {
  readonly holder: string
  readonly round: number
  readonly applied: number
  readonly perSecond: number
  readonly held: number
  readonly mayGrow: boolean
  /** The number of holders for which a part is kept although they have no demand. */
  readonly holders: number
}

function updateShare (store: SharesStore, workspace: string, share: Share, request: ShareRequest, moment: Moment): ShareUpdate {
  const limit = findLimit(store.shared, workspace)
  const refilled = refillReserve(findQuota(store, workspace, limit), limit, moment.monotonicMs)
  const confirmed: Share = { perSecond: request.perSecond, grants: keepUnconfirmed(share.grants, request.applied) }
  const current = replaceShare(refilled, limit, share, confirmed)
  const { parts, isShort } = moment.monotonicMs < store.shared.priorSharesUntilMs || !request.mayGrow
    ? { parts: Math.max(getCurrentParts(confirmed), Math.min(request.held, TOTAL_PARTS - RESERVE_PARTS - current.committed)), isShort: false }
    : chooseParts(current, limit, { holder: request.holder, perSecond: request.perSecond, held: getCommittedParts(confirmed), current: getCurrentParts(confirmed) }, request.holders)
  const marked: WorkspaceQuota = { ...current, shortHolder: updateShortHolder(current.shortHolder, request.holder, isShort) }
  if (parts === getCurrentParts(confirmed)) return { quota: marked, share: confirmed }
  const next: Share = { ...confirmed, grants: [...confirmed.grants, { round: request.round, parts }] }
  const quota = replaceShare(marked, limit, confirmed, next)
  return { quota, share: next, tokens: computeOverflow(current, quota, limit) }
}

function updateShortHolder (known: string | undefined, holder: string, isShort: boolean): string | undefined {
  if (isShort) return holder
  return known === holder ? undefined : known
}

// Reserve tokens above the smaller reserve's burst are granted with the larger share.
function computeOverflow (before: WorkspaceQuota, after: WorkspaceQuota, limit: KnownLimit): number | undefined {
  const tokens = Math.min(before.tokens - after.tokens, limit.burst * (after.committed - before.committed) / TOTAL_PARTS)
  return tokens > 0 ? tokens : undefined
}

function countHolders (store: SharesStore): number {
  let holders = 0
  for (const item of store.items.values()) if (item.kind === 'holder') holders += 1
  return holders
}

// Keeps the last confirmed grant and all later ones, since the host may apply any of them.
function keepUnconfirmed (grants: readonly ShareGrant[], applied: number): readonly ShareGrant[] {
  const confirmed = grants.filter(grant => grant.round <= applied)
  return [...confirmed.slice(-1), ...grants.slice(confirmed.length)]
}

function getCurrentParts (share: Share): number {
  return share.grants[share.grants.length - 1]?.parts ?? 0
}

function isUsed (share: Share): boolean {
  return share.perSecond > 0 || share.grants.length > 1 || getCommittedParts(share) > 0
}

function replaceShare (quota: WorkspaceQuota, limit: KnownLimit, from: Share, to: Share): WorkspaceQuota {
  const perSecond = Math.max(0, quota.perSecond - from.perSecond + to.perSecond)
  return setCommitted({ ...quota, perSecond }, limit, quota.committed - getCommittedParts(from) + getCommittedParts(to))
}

function listUnconfirmed (steps: readonly ShareUpdate[], applied: number): readonly HeldShare[] {
  return steps
    .filter(({ share }) => (share.grants[share.grants.length - 1]?.round ?? 0) > applied)
    .map(({ quota, share, tokens }) => ({ workspace: quota.workspace, parts: getCurrentParts(share), tokens }))
}

function findLimit (shared: SharesShared, workspace: string): KnownLimit {
  return shared.limits.get(workspace) ?? { workspace, ...NO_LIMIT }
}

function findQuota (store: SharesStore, workspace: string, limit: KnownLimit): WorkspaceQuota {
  const known = store.items.get(`workspace/${workspace}`) as WorkspaceQuota | undefined
  const { priorSharesUntilMs, unreportedHosts, priorLoansUntilMs } = store.shared
  const emptySinceMs = unreportedHosts.size === 0 ? store.shared.emptySinceMs : Infinity
  if (known !== undefined) return known.priorSharesUntilMs > priorSharesUntilMs ? { ...known, priorSharesUntilMs, emptySinceMs } : known
  return { ...createQuota(workspace, Math.max(priorLoansUntilMs, limit.knownSinceMs), priorSharesUntilMs), emptySinceMs }
}

function createChange (quota: WorkspaceQuota): readonly [string, SharesItem] {
  return [`workspace/${quota.workspace}`, quota]
}

function answerLoanRequest (store: SharesStore, message: LoanRequested, moment: Moment): SharesStep {
  const { shared } = store
  const { from, workspace, holder, loan } = message
  const limit = shared.limits.get(workspace)
  if (!isWithinLease(shared, message.epoch, moment) || from === undefined || limit === undefined) return UNCHANGED
  const refilled = releaseLoans(refillReserve(findQuota(store, workspace, limit), limit, moment.monotonicMs), message)
  const granted = grantLoan(refilled, limit, message, moment.monotonicMs)
  const answer = sendPeer(from, { kind: 'admission/lent', holder, loan, workspace, tokens: granted.tokens, nextMs: estimateNextTokenMs(granted.quota, limit, moment.monotonicMs), shortfall: granted.shortfall < 1 ? undefined : granted.shortfall })
  return { changes: [createChange(granted.quota)], effects: [{ ...answer, notAfterMs: shared.leaseUntilMs }] }
}

function expireHolders (store: SharesStore, moment: Moment): SharesStep {
  if (!store.shared.leads) return UNCHANGED
  const expiredBeforeMs = moment.monotonicMs - SHARE_LEASE_MS - LEASE_DRIFT_MARGIN_MS
  const holders = [...store.items.values()].filter((item): item is Holder => item.kind === 'holder')
  const successors = new Map(holders.filter(holder => holder.isConfirmed).sort((a, b) => a.firstSeenAtMs - b.firstSeenAtMs).map(holder => [holder.host, holder]))
  const expired = holders.filter(holder => holder.renewedAtMs < expiredBeforeMs || isSucceeded(holder, successors.get(holder.host), moment))
  const released = new Map<string, WorkspaceQuota>()
  for (const { holder, shares } of expired) {
    for (const [workspace, share] of shares) released.set(workspace, releaseShare(store, released.get(workspace), workspace, holder, share, moment))
  }
  return {
    changes: [...expired.map(holder => [`holder/${holder.holder}`, undefined] as const), ...[...released.values()].map(createChange)],
    effects: [createSweepTimer()]
  }
}

// A host takes a new id only while it holds nothing, so a later holder on the same host ends the earlier one. This returns
// the shares of a restarted host at once, those of a lender once its last loans are void; without it they stay unused until
// their lease expires.
function isSucceeded (holder: Holder, successor: Holder | undefined, { monotonicMs }: Moment): boolean {
  if (successor === undefined || successor.firstSeenAtMs <= holder.firstSeenAtMs) return false
  return !holder.lends || monotonicMs > successor.firstSeenAtMs + MAX_LOAN_MS + LOAN_DRIFT_MARGIN_MS
}

function releaseShare (store: SharesStore, released: WorkspaceQuota | undefined, workspace: string, holder: string, share: Share, moment: Moment): WorkspaceQuota {
  const limit = findLimit(store.shared, workspace)
  const refilled = refillReserve(released ?? findQuota(store, workspace, limit), limit, moment.monotonicMs)
  return replaceShare({ ...refilled, shortHolder: updateShortHolder(refilled.shortHolder, holder, false) }, limit, share, NO_SHARE)
}

function createSweepTimer (): CoreEffect {
  return setTimer('shares/sweep', SWEEP_INTERVAL_MS, { kind: 'shares/sweep-due' })
}
