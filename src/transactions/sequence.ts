/** Duplicate detection: each request of a host is processed at most once, however often and late it arrives. */
import type { SequenceNumber } from './messages.js'
import type { TransactionsShared } from './state.js'

/** Processes per host whose last sequence number is kept: late requests come from the current process or the last few. */
const SENDERS_PER_HOST = 4

/**
 * Tells whether a sequence number is above all earlier ones of its sender.
 * @example isNewSequenceNumber(shared, 'host-1', { sender: 'x', order: 8 })
 */
export function isNewSequenceNumber (shared: TransactionsShared, host: string, sequenceNumber: SequenceNumber): boolean {
  const known = shared.sequenceNumbers.get(host)?.find(({ sender }) => sender === sequenceNumber.sender)
  return known === undefined || sequenceNumber.order > known.order
}

/**
 * Returns the shared state after a request; requests of its sender up to this number are ignored from now on.
 * @example recordSequenceNumber(shared, 'host-1', { sender: 'x', order: 8 })
 */
export function recordSequenceNumber (shared: TransactionsShared, host: string, sequenceNumber: SequenceNumber): TransactionsShared {
  if (!isNewSequenceNumber(shared, host, sequenceNumber)) return shared
  const others = (shared.sequenceNumbers.get(host) ?? []).filter(({ sender }) => sender !== sequenceNumber.sender)
  const sequenceNumbers = new Map(shared.sequenceNumbers).set(host, [sequenceNumber, ...others].slice(0, SENDERS_PER_HOST))
  return { ...shared, sequenceNumbers }
}
