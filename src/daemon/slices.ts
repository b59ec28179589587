/** The slices of a host. */
import { decideAdmission } from '../admission/decide.js'
import { checkAllowance, createAdmissionShared } from '../admission/state.js'
import { createAgreementState, decideAgreement } from '../agreement/decide.js'
import { DecidingSlice, type Slice } from '../core/slice.js'
import { StoreSlice } from '../core/store.js'
import { createDocumentsState, decideDocuments } from '../documents/decide.js'
import { decideMembership } from '../membership/decide.js'
import { createMembershipState } from '../membership/state.js'
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
import { createTimelineShared, decideTimeline } from '../timeline/decide.js'
import type { Settings } from '../settings/settings.js'
import { checkOwned } from '../transactions/check.js'
import { decideTransactions } from '../transactions/decide.js'
import { createTransactionsShared } from '../transactions/state.js'

/**
 * Creates the slices of a host from its settings.
 * @example createSlices(settings)
 */
export function createSlices (settings: Settings): readonly Slice[] {
  const { host, failureDomain, limits } = settings
  return [
    StoreSlice.create({ name: 'admission', shared: createAdmissionShared(), decide: decideAdmission, checkItem: checkAllowance }),
    DecidingSlice.create({ name: 'agreement', initial: createAgreementState(), decide: decideAgreement }),
    DecidingSlice.create({ name: 'documents', initial: createDocumentsState(), decide: decideDocuments }),
    DecidingSlice.create({ name: 'membership', initial: createMembershipState(), decide: decideMembership }),
    DecidingSlice.create({ name: 'operations', initial: createOperationsState(), decide: decideOperations }),
    DecidingSlice.create({ name: 'primacy', initial: createPrimacyState(), decide: decidePrimacy }),
    StoreSlice.create({ name: 'requests', shared: createRequestsShared(limits.requestMs), decide: decideRequests }),
    DecidingSlice.create({ name: 'routing', initial: createRoutingState(host, failureDomain), decide: decideRouting }),
    StoreSlice.create({ name: 'shares', shared: createSharesShared(), decide: decideShares, checkItem: checkSharesItem }),
    DecidingSlice.create({ name: 'stopping', initial: createStoppingState(host), decide: decideStopping }),
    StoreSlice.create({ name: 'timeline', shared: createTimelineShared(host), decide: decideTimeline }),
    StoreSlice.create({ name: 'transactions', shared: createTransactionsShared(limits.queueLength, limits.idleTransactionMs), decide: decideTransactions, checkItem: checkOwned })
  ]
}
