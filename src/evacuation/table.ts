/** The replicated table of operators' orders on failure domains, and the command that changes it. */
import { getOwn } from '../core/own.js'

/** Number of requests whose outcome is kept for deduplication. */
export const MAX_ANSWERED_ORDERS = 256

/** The last order on a failure domain. */
export interface EvacuationRecord {
  readonly evacuated: boolean
  /** The number of the order among all that changed something. */
  readonly version: number
}

/** A request and its outcome. */
export interface AnsweredOrder {
  readonly requestId: string
  readonly outcome: OrderOutcome
}

/** The last order on each failure domain, and the last requests. */
export interface EvacuationTable {
  /** The number of orders that changed something. */
  readonly version: number
  readonly domains: Readonly<Record<string, EvacuationRecord>>
  readonly requests: readonly AnsweredOrder[]
}

/** Begins or ends the evacuation of a failure domain. */
export interface OrderCommand {
  readonly kind: 'evacuation/order'
  readonly requestId: string
  readonly domain: string
  readonly evacuated: boolean
  /** The last order on the domain that the called host knew when this one came; 0 if none. */
  readonly after: number
}

/** Whether an order is in the log; if not, a later order than the caller can have known stands against it. */
export type OrderOutcome =
  | { readonly accepted: true, readonly domain: string, readonly evacuated: boolean, readonly version: number }
  | { readonly accepted: false, readonly error: 'conflict', readonly text: string }

/** The table after a command, and the command's outcome. */
export interface OrderResult {
  readonly state: EvacuationTable
  readonly outcome: OrderOutcome
}

/** The table without orders. */
export const NO_EVACUATIONS: EvacuationTable = { version: 0, domains: {}, requests: [] }

/**
 * Applies an order. A repeated request id gets the outcome of the first request. A copy of an order that comes after a later
 * order was acknowledged changes nothing.
 * @example applyOrder(NO_EVACUATIONS, { kind: 'evacuation/order', requestId: 'r1', domain: 'east', evacuated: true, after: 0 }).state.version // 1
 */
export function applyOrder (table: EvacuationTable, command: OrderCommand): OrderResult {
  const { requestId, domain, evacuated, after } = command
  const first = table.requests.find(request => request.requestId === requestId)
  if (first !== undefined) return { state: table, outcome: first.outcome }
  const known = getOwn(table.domains, domain)
  if ((known?.evacuated ?? false) === evacuated) return recordOrder(table, command, known?.version ?? 0)
  if (known !== undefined && known.version > after) return { state: table, outcome: createConflict(domain) }
  const version = table.version + 1
  const changed: EvacuationTable = { ...table, version, domains: { ...table.domains, [domain]: { evacuated, version } } }
  return recordOrder(changed, command, version)
}

function recordOrder (table: EvacuationTable, { requestId, domain, evacuated }: OrderCommand, version: number): OrderResult {
  const outcome: OrderOutcome = { accepted: true, domain, evacuated, version }
  return { state: { ...table, requests: [...table.requests.slice(1 - MAX_ANSWERED_ORDERS), { requestId, outcome }] }, outcome }
}

function createConflict (domain: string): OrderOutcome {
  return { accepted: false, error: 'conflict', text: `Another order on failure domain "${domain}" came first: check it with status, and send the order again if it still holds.` }
}

/**
 * Lists the evacuated failure domains.
 * @example listEvacuated(table) // ['east']
 */
export function listEvacuated (table: EvacuationTable): readonly string[] {
  return Object.entries(table.domains).filter(([, { evacuated }]) => evacuated).map(([domain]) => domain)
}
