/** The kinds of messages that hosts send to each other. */
import type { Message } from '../core/message.js'
import type { HostMessage } from '../messages.js'

const PEER_MESSAGE_KINDS = [
  'admission/lent',
  'admission/loan-wanted',
  'admission/shares-answered',
  'agreement/append',
  'agreement/appended',
  'agreement/held-asked',
  'agreement/install',
  'agreement/installed',
  'agreement/versions-asked',
  'agreement/versions-told',
  'agreement/vote-answered',
  'agreement/vote-asked',
  'agreement/waiting',
  'documents/apply',
  'documents/ask',
  'documents/read-asked',
  'documents/replace-asked',
  'evacuation/ask',
  'membership/beat',
  'membership/beat-answered',
  'membership/drain-asked',
  'membership/leader-hint',
  'membership/left',
  'membership/status-asked',
  'membership/versions-held',
  'membership/withdrawn',
  'operations/answered',
  'primacy/command',
  'primacy/move',
  'primacy/obeyed',
  'requests/failed',
  'requests/finished',
  'requests/late',
  'requests/output',
  'routing/positions-asked',
  'routing/positions-told',
  'shares/asked',
  'shares/wanted',
  'timeline/events-asked',
  'timeline/events-told',
  'transactions/cancel',
  'transactions/credit',
  'transactions/run'
] as const satisfies ReadonlyArray<HostMessage['kind']>

const KNOWN_KINDS: ReadonlySet<string> = new Set(PEER_MESSAGE_KINDS)

/**
 * Tells whether a message may come from another host. Kinds that only a later version
 * knows are ignored, as if the message had been lost.
 * @example isPeerMessage({ kind: 'membership/beat' }) // true
 */
export function isPeerMessage (message: Message): boolean {
  return KNOWN_KINDS.has(message.kind)
}
