/** Creates the slices of a host. */
import { decideAdmission } from '../admission/decide.js'
import { checkAllowance, createAdmissionShared } from '../admission/state.js'
import { createAgreementState, decideAgreement } from '../agreement/decide.js'
import type { Priorities } from '../core/inbox.js'
import { DecidingSlice, type Slice } from '../core/slice.js'
import { StoreSlice } from '../core/store.js'
import type { DatabaseGuarantees } from '../databases/guarantees.js'
import { createDocumentsState, decideDocuments } from '../documents/decide.js'
import { createEvacuationState, decideEvacuation } from '../evacuation/decide.js'
import { createRegions } from '../homes/homes.js'
import { decideMembership } from '../membership/decide.js'
import { createMembershipState } from '../membership/state.js'
import { decideMemory } from '../memory/decide.js'
import { calculateLimits, readMachine } from '../memory/limits.js'
import { createMemoryState } from '../memory/state.js'
import { createOperationsState, decideOperations } from '../operations/decide.js'
import { decidePrimacy } from '../primacy/decide.js'
import { createPrimacyState } from '../primacy/state.js'
import { decideRequests } from '../requests/decide.js'
import { createRequestsShared } from '../requests/state.js'
import { decideRouting } from '../routing/decide.js'
import { createRoutingState } from '../routing/state.js'
import { decideShares } from '../shares/decide.js'
import { checkSharesItem, createSharesShared } from '../shares/state.js'
import { createStoppingState, decideStopping } from '../stopping/decide.js'
import { decideSuccession } from '../succession/decide.js'
import { createSuccessionState } from '../succession/state.js'
import { createTimelineShared, decideTimeline } from '../timeline/decide.js'
import type { Settings } from '../settings/settings.js'
import { checkOwnedDatabase } from '../transactions/invariants.js'
import { decideTransactions } from '../transactions/decide.js'
import { createTransactionsShared } from '../transactions/state.js'

/** A leader that answers its followers late loses its lease, and each election adds to the load that delayed it. Room is made before it is used. */
export const PRIORITIES: Priorities = [new Set(['agreement', 'memory'])]

/**
 * Creates the slices of a host from its settings.
 * @param startedAtMs the monotonic time at which the host starts.
 * @example createSlices(settings, POSTGRES_GUARANTEES, clock.read().monotonicMs)
 */
export function createSlices (settings: Settings, guarantees: DatabaseGuarantees, startedAtMs: number): readonly Slice[] {
  const { host, failureDomain, limits, timing, cold, placement } = settings
  return [
    StoreSlice.create({ name: 'admission', shared: createAdmissionShared({ self: host, servesWhenIsolated: settings.authority === 'kept', acceptsCallers: settings.callers !== undefined, startedAtMs }), decide: decideAdmission, checkItem: checkAllowance }),
    DecidingSlice.create({ name: 'agreement', initial: createAgreementState(), decide: decideAgreement }),
    DecidingSlice.create({ name: 'documents', initial: createDocumentsState(), decide: decideDocuments }),
    DecidingSlice.create({ name: 'evacuation', initial: createEvacuationState(settings.failureDomains.map(({ name }) => name)), decide: decideEvacuation }),
    DecidingSlice.create({ name: 'membership', initial: createMembershipState(timing), decide: decideMembership }),
    DecidingSlice.create({ name: 'memory', initial: createMemoryState(calculateLimits(limits, readMachine())), decide: decideMemory }),
    DecidingSlice.create({ name: 'operations', initial: createOperationsState(), decide: decideOperations }),
    DecidingSlice.create({ name: 'primacy', initial: createPrimacyState(!guarantees.selfFencing), decide: decidePrimacy }),
    StoreSlice.create({ name: 'requests', shared: createRequestsShared(limits.requestMs, guarantees), decide: decideRequests }),
    DecidingSlice.create({ name: 'routing', initial: createRoutingState(host, failureDomain, guarantees, timing.askEveryMs, createRegions(settings.failureDomains), placement?.leaveDomain === true ? { priceMsPerKib: placement.priceMsPerKib } : undefined), decide: decideRouting }),
    StoreSlice.create({ name: 'shares', shared: createSharesShared(), decide: decideShares, checkItem: checkSharesItem }),
    DecidingSlice.create({ name: 'stopping', initial: createStoppingState(host, limits.balancerMs), decide: decideStopping }),
    DecidingSlice.create({ name: 'succession', initial: createSuccessionState(guarantees.selfFencing), decide: decideSuccession }),
    StoreSlice.create({ name: 'timeline', shared: createTimelineShared(host), decide: decideTimeline }),
    StoreSlice.create({ name: 'transactions', shared: createTransactionsShared(limits.queueLength, limits.idleTransactionMs, guarantees, { excess: cold?.excess ?? 1, slack: cold?.slack ?? 0, unheardMs: timing.announcementHoldsMs }), decide: decideTransactions, checkItem: checkOwnedDatabase })
  ]
}
