/** What a link between hosts is: it carries messages of slices, and decides nothing. */
import { Adapter } from '../core/adapter.js'
import type { LearnPeers, SendPeer } from '../core/message.js'

/** Where a host listens for its peers. */
export interface PeerAddress {
  readonly host: string
  readonly peers: string
}

/** Carries messages to the slices of other hosts; delivery is not certain, but in order. */
export abstract class PeerLink extends Adapter {
  readonly name = 'peer'

  abstract override execute (effect: SendPeer | LearnPeers): void

  /** Learns where hosts listen; forgets none that is not named again. */
  abstract learnAddresses (addresses: readonly PeerAddress[]): void

  /** Closes all links. */
  abstract [Symbol.asyncDispose] (): Promise<void>
}
