/** The interface of the links between hosts, which transfer messages and decide nothing. */
import { Adapter } from '../core/adapter.js'
import type { LearnPeers, SendPeer } from '../core/message.js'

/** The address at which a host listens for its peers. */
export interface PeerAddress {
  readonly host: string
  readonly peers: string
}

/** Sends messages to the slices of other hosts; delivery is best-effort, but in order. */
export abstract class PeerLink extends Adapter {
  readonly name = 'peer'

  abstract override carryOut (effect: SendPeer | LearnPeers): void

  /** Adds or updates the addresses of hosts; the addresses of all others are kept. */
  abstract learnAddresses (addresses: readonly PeerAddress[]): void

  /** Closes all links. */
  abstract [Symbol.asyncDispose] (): Promise<void>
}
