/** Tickets: each order of a host counts once, however often and late it arrives. */
import type { Ticket } from './messages.js'
import type { TransactionsShared } from './state.js'

/** Processes of one host whose last order is kept: late orders come from the present one or the last few. */
const SENDERS_PER_HOST = 4

/**
 * Tells whether an order is later than all orders of its sender so far.
 * @example isNewTicket(shared, 'host-1', { sender: 'x', order: 8 })
 */
export function isNewTicket (shared: TransactionsShared, host: string, ticket: Ticket): boolean {
  const known = shared.tickets.get(host)?.find(({ sender }) => sender === ticket.sender)
  return known === undefined || ticket.order > known.order
}

/**
 * Returns the facts after an order; orders up to it no longer count.
 * @example takeTicket(shared, 'host-1', { sender: 'x', order: 8 })
 */
export function takeTicket (shared: TransactionsShared, host: string, ticket: Ticket): TransactionsShared {
  if (!isNewTicket(shared, host, ticket)) return shared
  const others = (shared.tickets.get(host) ?? []).filter(({ sender }) => sender !== ticket.sender)
  const tickets = new Map(shared.tickets).set(host, [ticket, ...others].slice(0, SENDERS_PER_HOST))
  return { ...shared, tickets }
}
