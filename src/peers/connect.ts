/** Links over connect: one stream from each host to each host that it sends to. */
import { createClient, type ConnectRouter } from '@connectrpc/connect'
import { createGrpcTransport, Http2SessionManager } from '@connectrpc/connect-node'
import type { Post } from '../core/adapter.js'
import type { LearnPeers, Message, SendPeer } from '../core/message.js'
import { Peers, type PackedFrame } from '../gen/fulmartally_pb.js'
import { assertInvariant } from '../core/invariant.js'
import type { HostMessage } from '../messages.js'
import { decodeFrame, encodeFrame, packFrame, unpackFrame } from './frame.js'
import { isPeerMessage } from './kinds.js'
import { PeerLink, type PeerAddress } from './link.js'
import { FramePacker, FrameUnpacker } from './packing.js'
import { SendQueue } from './queue.js'
import { countTraffic, type OnTraffic } from './traffic.js'
import type { StampClock } from '../timeline/clock.js'

const PING_EVERY_MS = 1_000
const PING_TIMEOUT_MS = 1_000
/** How long a link may take to open: a lost opening packet is sent again after 1 s, and a new attempt is quicker. */
const OPEN_WITHIN_MS = 1_000
const ABORT_AFTER_MS = 500

/** How long a host that could not be reached is not tried again: attempts then cost little, and what is meant for it is refused at once. */
const TRY_AGAIN_MS = 200
/** Time between two looks at the sessions: within it, a host that left gracefully gets no new requests. */
const LOOK_EVERY_MS = 100
/** What somebody waits for an answer to. */
const AWAITED_KIND: HostMessage['kind'] = 'transactions/run'

interface OpenLink {
  readonly address: string
  readonly queue: SendQueue<PackedFrame>
  readonly packer: FramePacker
  readonly abort: AbortController
  readonly session: Http2SessionManager
  /** True once the other host accepted the connection. */
  opened: boolean
}

/** What happens when a link from or to a host ends; nothing that waited for it has left when it never opened. */
export type OnLost = (host: string, opened: boolean) => readonly Message[]

/** What watches the links: the clock that stamps messages, and who counts their bytes. */
export interface LinkWatch {
  readonly clock: StampClock
  readonly onTraffic: OnTraffic
}

/** Carries messages over connect streams on HTTP/2. */
export class ConnectPeerLink extends PeerLink {
  readonly #self: string
  readonly #post: Post
  readonly #onLost: OnLost
  readonly #watch: LinkWatch
  readonly #addresses = new Map<string, string>()
  readonly #links = new Map<string, OpenLink>()
  /** Hosts that could not be reached, and until when they are not tried again. */
  readonly #unreachable = new Map<string, number>()
  readonly #looking: NodeJS.Timeout
  #closed = false

  private constructor (self: string, post: Post, onLost: OnLost, watch: LinkWatch) {
    super()
    this.#self = self
    this.#post = post
    this.#onLost = onLost
    this.#watch = watch
    this.#looking = setInterval(() => this.#loseClosed(), LOOK_EVERY_MS).unref()
  }

  /**
   * Creates the links of a host; they open when there is something to send.
   * @example ConnectPeerLink.create('host-1', loop.post, host => [{ kind: 'requests/peer-lost', host }], { clock, onTraffic })
   */
  static create (self: string, post: Post, onLost: OnLost, watch: LinkWatch): ConnectPeerLink {
    return new ConnectPeerLink(self, post, onLost, watch)
  }

  learnAddresses (addresses: readonly PeerAddress[]): void {
    for (const { host, peers } of addresses) {
      if (this.#addresses.get(host) === peers) continue
      this.#addresses.set(host, peers)
      this.#drop(host)
    }
  }

  execute (effect: SendPeer | LearnPeers): void {
    if (effect.kind === 'peer/learn') return this.learnAddresses(effect.addresses)
    assertInvariant(isPeerMessage(effect.message), 'each message to a host is listed', effect.message.kind)
    if (effect.to === this.#self) {
      this.#post({ ...effect.message, from: this.#self } as Message)
      return
    }
    if (this.#isUnreachable(effect.to)) {
      if (effect.message.kind === AWAITED_KIND) this.#report(effect.to, false)
      return
    }
    const link = this.#findOpen(effect.to) ?? this.#open(effect.to)
    if (link === undefined) return
    const packed = this.#encode(link, effect.message)
    if (!link.queue.push(packed, packed.frame.length)) this.#lose(effect.to, link)
  }

  /** Adds the service that takes in other hosts' streams. */
  addRoutes (router: ConnectRouter): void {
    const take = (frames: AsyncIterable<PackedFrame>) => this.#take(frames)
    router.service(Peers, { connect: frames => take(frames) })
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    this.#closed = true
    clearInterval(this.#looking)
    for (const host of [...this.#links.keys()]) this.#drop(host)
  }

  async * #take (frames: AsyncIterable<PackedFrame>): AsyncGenerator<PackedFrame> {
    const unpacker = FrameUnpacker.create()
    let from: string | undefined
    try {
      for await (const packed of frames) from = this.#takeFrame(unpacker, packed)
    } catch {
      // The stream broke: the same as its end.
    }
    if (from !== undefined) this.#report(from, true)
    yield * []
  }

  #encode (link: OpenLink, message: Message): PackedFrame {
    const packed = packFrame(link.packer, encodeFrame(this.#self, message, this.#watch.clock.advance()))
    this.#watch.onTraffic(countTraffic('sent', message.kind, packed))
    return packed
  }

  // Returns the host that sent it.
  #takeFrame (unpacker: FrameUnpacker, packed: PackedFrame): string {
    const frame = unpackFrame(unpacker, packed)
    const message = decodeFrame(frame)
    this.#watch.clock.merge({ wallMs: frame.stampWallMs, count: frame.stampCount })
    this.#watch.onTraffic(countTraffic('received', message.kind, packed))
    if (isPeerMessage(message)) this.#post(message)
    return frame.from
  }

  #isUnreachable (host: string): boolean {
    const untilMs = this.#unreachable.get(host)
    if (untilMs === undefined) return false
    if (performance.now() < untilMs) return true
    this.#unreachable.delete(host)
    return false
  }

  #findOpen (host: string): OpenLink | undefined {
    const link = this.#links.get(host)
    if (link !== undefined && isClosed(link)) this.#lose(host, link)
    return this.#links.get(host)
  }

  // A peer that ends its session may leave the stream on it without an end.
  #loseClosed (): void {
    for (const [host, link] of this.#links) if (isClosed(link)) this.#lose(host, link)
  }

  #open (host: string): OpenLink | undefined {
    const address = this.#addresses.get(host) ?? findAddress(host)
    if (address === undefined || this.#closed) return undefined
    const session = new Http2SessionManager(`http://${address}`, { pingIntervalMs: PING_EVERY_MS, pingTimeoutMs: PING_TIMEOUT_MS, pingIdleConnection: true })
    const transport = createGrpcTransport({ baseUrl: `http://${address}`, sessionManager: session })
    const link: OpenLink = { address, queue: SendQueue.create(), packer: FramePacker.create(), abort: new AbortController(), session, opened: false }
    this.#links.set(host, link)
    this.#run(host, link, createClient(Peers, transport)).catch(() => this.#lose(host, link))
    session.connect().then(state => {
      link.opened = state !== 'error'
      if (!link.opened) this.#lose(host, link)
    }, () => this.#lose(host, link))
    setTimeout(() => {
      if (!link.opened) this.#lose(host, link)
    }, OPEN_WITHIN_MS).unref()
    return link
  }

  async #run (host: string, link: OpenLink, client: ReturnType<typeof createClient<typeof Peers>>): Promise<void> {
    try {
      const unpacker = FrameUnpacker.create()
      for await (const packed of client.connect(link.queue, { signal: link.abort.signal })) this.#takeFrame(unpacker, packed)
    } catch {
      // The stream broke: the same as its end.
    }
    this.#lose(host, link)
  }

  #lose (host: string, link: OpenLink): void {
    if (this.#links.get(host) !== link) return
    const opened = link?.opened === true
    if (!opened) this.#unreachable.set(host, performance.now() + TRY_AGAIN_MS)
    this.#drop(host)
    this.#report(host, opened)
  }

  #drop (host: string): void {
    const link = this.#links.get(host)
    if (link === undefined) return
    this.#links.delete(host)
    link.queue.close()
    link.abort.abort()
    // A session that its ping timeout destroys ends its streams first and emits its error
    // later; aborted between the two, it would emit the error without a listener.
    setTimeout(() => link.session.abort(), ABORT_AFTER_MS).unref()
  }

  #report (host: string, opened: boolean): void {
    if (this.#closed) return
    for (const message of this.#onLost(host, opened)) this.#post(message)
  }
}

function isClosed ({ session }: OpenLink): boolean {
  const state = session.state()
  return state === 'closed' || state === 'error'
}

// A host that is known by its address alone is named by it.
function findAddress (host: string): string | undefined {
  return /^\d+(\.\d+){3}:\d+$/.test(host) ? host : undefined
}
