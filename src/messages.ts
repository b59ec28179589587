/** The messages of all slices, and typed functions to deliver them. */
import type { AdmissionMessage } from './admission/messages.js'
import type { AgreementMessage } from './agreement/messages.js'
import { sendPeer as sendAny, setTimer as setAny, tell as tellAny, type SendPeer, type SetTimer, type Tell } from './core/message.js'
import type { DocumentsMessage } from './documents/messages.js'
import type { EvacuationMessage } from './evacuation/messages.js'
import type { MembershipMessage } from './membership/messages.js'
import type { MemoryMessage } from './memory/messages.js'
import type { OperationsMessage } from './operations/messages.js'
import type { PrimacyMessage } from './primacy/messages.js'
import type { RequestsMessage } from './requests/messages.js'
import type { RoutingMessage } from './routing/messages.js'
import type { SharesMessage } from './shares/messages.js'
import type { StoppingMessage } from './stopping/messages.js'
import type { SuccessionMessage } from './succession/messages.js'
import type { TimelineMessage } from './timeline/messages.js'
import type { TransactionsMessage } from './transactions/messages.js'

/** Any message of a slice. */
export type HostMessage =
  | AdmissionMessage
  | AgreementMessage
  | DocumentsMessage
  | EvacuationMessage
  | MembershipMessage
  | MemoryMessage
  | OperationsMessage
  | PrimacyMessage
  | RequestsMessage
  | RoutingMessage
  | SharesMessage
  | StoppingMessage
  | SuccessionMessage
  | TimelineMessage
  | TransactionsMessage

/** Adds a message to the inbox of the host's loop. */
export type HostPost = (message: HostMessage) => void

/**
 * Creates the effect that delivers a message to a slice of this host.
 * @example tell({ kind: 'membership/beat-due' })
 */
export const tell = (message: HostMessage): Tell => tellAny(message)

/**
 * Creates the effect that delivers a message to a slice of another host.
 * @example sendPeer('host-2', { kind: 'routing/positions-asked', round: 1 })
 */
export const sendPeer = (to: string, message: HostMessage): SendPeer => sendAny(to, message)

/**
 * Creates the effect that delivers a message to a slice of this host after a delay.
 * @example setTimer('membership/beat', 100, { kind: 'membership/beat-due' })
 */
export const setTimer = (name: string, afterMs: number, message: HostMessage): SetTimer => setAny(name, afterMs, message)
