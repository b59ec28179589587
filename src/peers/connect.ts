/** Peer links by the `Connect` method of `proto/`: one stream from a host to each host that it sends to. */
import type { ClientHttp2Stream, Http2ServerRequest, Http2ServerResponse, ServerHttp2Stream } from 'node:http2'
import { Http2SessionManager } from '@connectrpc/connect-node'
import type { Post } from '../core/adapter.js'
import { sendPeer, type LearnPeers, type Message, type SendPeer } from '../core/message.js'
import type { PackedFrame } from '../gen/fulmartally_pb.js'
import { isAddress } from '../core/address.js'
import { assertInvariant } from '../core/invariant.js'
import type { MemoryAccount } from '../memory/account.js'
import type { HostMessage } from '../messages.js'
import { decodeFrame, encodeFrame, LinkPacker, LinkUnpacker, type DecodedFrame } from './frame.js'
import { isPeerMessage } from './kinds.js'
import { LargeRequests } from './largerequests.js'
import { PeerLink, type PeerAddress } from './link.js'
import { checkLiveness, CONFIRMED, recordPong, recordSent, type Liveness } from './liveness.js'
import { Outbox, type EncodedFrame } from './outbox.js'
import { encodeMessage, GRPC_CONTENT, MessageSender, OK_TRAILERS, PEERS_PATH, receiveMessages, REQUEST_HEADERS } from './stream.js'
import { countTraffic, type OnTraffic } from './traffic.js'
import type { HybridLogicalClock } from '../timeline/clock.js'

const HTTP_OK = 200
/** Links that nothing is sent over are pinged this seldom; the others by their liveness. */
const IDLE_PING_INTERVAL_MS = 5_000
const IDLE_PING_TIMEOUT_MS = 1_000
/** The timeout for opening a link. TCP resends a lost SYN only after 1 s, so a new attempt is faster. */
const OPEN_TIMEOUT_MS = 1_000
const ABORT_DELAY_MS = 500

/** The backoff after a host could not be reached: it limits the cost of attempts, and requests for the host fail at once meanwhile. */
const RECONNECT_BACKOFF_MS = 200
/** The interval at which closed sessions are detected. It need not be shorter: a host that left gracefully gets no new requests meanwhile. */
const CLOSED_CHECK_INTERVAL_MS = 100
/** The kind of message whose sender waits for an answer, and so is told that the host cannot be reached. */
const REQUEST_KIND: HostMessage['kind'] = 'transactions/run'
/** The first message on the way back of a stream; hosts of earlier versions ignore its kind and send none. */
const ACCEPT_BATCHES: Message = { kind: 'peers/batches-accepted' }

interface OpenLink {
  readonly address: string
  readonly sender: MessageSender
  readonly outbox: Outbox
  readonly session: Http2SessionManager
  /** True once the connection is established. */
  opened: boolean
  /** The stream, once it is open. */
  stream?: ClientHttp2Stream
  liveness: Liveness
}

/** Called when a link from or to a host ends; returns the messages to post. If the link never opened, nothing was sent over it. */
export type OnLinkLost = (host: string, opened: boolean) => readonly Message[]

/** The observers of all links: the clock that stamps messages, and the counter of their bytes. */
export interface LinkObservers {
  readonly clock: HybridLogicalClock
  readonly onTraffic: OnTraffic
  /** Counts the bytes of the process; absent where nothing is counted. */
  readonly account?: MemoryAccount
}

/** Transfers messages over streams of gRPC on HTTP/2. */
export class ConnectPeerLink extends PeerLink {
  readonly #self: string
  readonly #post: Post
  readonly #onLinkLost: OnLinkLost
  readonly #observers: LinkObservers
  readonly #addresses = new Map<string, string>()
  readonly #largeRequests: LargeRequests | undefined
  readonly #links = new Map<string, OpenLink>()
  /** Hosts that could not be reached, and the monotonic time until which no new attempt is made. */
  readonly #unreachableUntilMs = new Map<string, number>()
  readonly #closedCheck: NodeJS.Timeout
  #closed = false

  private constructor (self: string, post: Post, onLinkLost: OnLinkLost, observers: LinkObservers) {
    super()
    this.#self = self
    this.#post = post
    this.#onLinkLost = onLinkLost
    this.#observers = observers
    this.#largeRequests = observers.account === undefined ? undefined : LargeRequests.create(observers.account)
    this.#closedCheck = setInterval(() => this.#detectClosed(), CLOSED_CHECK_INTERVAL_MS).unref()
  }

  /**
   * Creates the links of a host; each opens when there is a message to send.
   * @example ConnectPeerLink.create('host-1', loop.post, host => [{ kind: 'requests/peer-lost', host }], { clock, onTraffic })
   */
  static create (self: string, post: Post, onLinkLost: OnLinkLost, observers: LinkObservers): ConnectPeerLink {
    return new ConnectPeerLink(self, post, onLinkLost, observers)
  }

  learnAddresses (addresses: readonly PeerAddress[]): void {
    for (const { host, peers } of addresses) {
      if (this.#addresses.get(host) === peers) continue
      this.#addresses.set(host, peers)
      const link = this.#links.get(host)
      if (link === undefined) continue
      // What was sent over it may have run, so that a new link that doesn't open says nothing of it.
      this.#drop(host)
      this.#reportLoss(host, link.opened)
    }
  }

  execute (effect: SendPeer | LearnPeers): void {
    if (effect.kind === 'peer/learn') return this.learnAddresses(effect.addresses)
    assertInvariant(isPeerMessage(effect.message), 'each message to another host is listed as a peer message', effect.message.kind)
    if (effect.to === this.#self) {
      this.#post({ ...effect.message, from: this.#self } as Message)
      return
    }
    if (this.#isUnreachable(effect.to)) {
      return this.#refuseRequest(effect)
    }
    const link = this.#findOpen(effect.to) ?? this.#open(effect.to)
    if (link === undefined) return this.#refuseRequest(effect)
    const refusal = this.#largeRequests?.send(effect.to, effect.message)
    if (refusal !== undefined) return this.#post(refusal)
    link.liveness = recordSent(link.liveness, performance.now())
    link.outbox.add(this.#encode(effect.message))
  }

  #refuseRequest ({ to, message }: SendPeer): void {
    if (message.kind === REQUEST_KIND) this.#reportLoss(to, false)
  }

  /** Receives the stream of another host; returns false when a request is not one. */
  readonly handleRequest = (request: Http2ServerRequest, response: Http2ServerResponse): boolean => {
    if (request.url !== PEERS_PATH) return false
    request.on('error', () => undefined)
    response.on('error', () => undefined)
    response.writeHead(HTTP_OK, { 'content-type': GRPC_CONTENT })
    response.write(encodeMessage(this.#pack(LinkPacker.create(), [this.#encode(ACCEPT_BATCHES)], false)))
    this.#receive(request.stream).finally(() => {
      response.addTrailers(OK_TRAILERS)
      response.end()
    })
    return true
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    this.#closed = true
    clearInterval(this.#closedCheck)
    for (const host of [...this.#links.keys()]) this.#drop(host)
  }

  async #receive (stream: ServerHttp2Stream): Promise<void> {
    const unpacker = LinkUnpacker.create(this.#observers.account?.limits.peerMessageBytes)
    let from: string | undefined
    try {
      await receiveMessages(stream, packed => {
        for (const frame of this.#unpack(unpacker, packed)) from = this.#receiveFrame(frame)
      })
    } catch {
      // A broken stream is handled like one that ended.
    }
    if (from !== undefined) this.#reportLoss(from, true)
  }

  #encode (message: Message): EncodedFrame {
    return encodeFrame(this.#self, message, this.#observers.clock.advance())
  }

  #pack (packer: LinkPacker, frames: readonly EncodedFrame[], isBatch: boolean): PackedFrame {
    const packed = isBatch ? packer.packBatch(frames.map(frame => frame.bytes)) : packer.packFrame(frames[0]!.bytes)
    countTraffic('sent', frames, packed).forEach(traffic => this.#observers.onTraffic(traffic))
    return packed
  }

  #unpack (unpacker: LinkUnpacker, packed: PackedFrame): readonly DecodedFrame[] {
    const encoded = unpacker.unpack(packed)
    const frames = encoded.map(decodeFrame)
    countTraffic('received', frames.map(({ message }, index) => ({ kind: message.kind, bytes: encoded[index]! })), packed).forEach(traffic => this.#observers.onTraffic(traffic))
    return frames
  }

  // Returns the sender.
  #receiveFrame ({ from, message, stamp }: DecodedFrame): string {
    this.#observers.clock.merge(stamp)
    if (!isPeerMessage(message)) return from
    const refusal = this.#largeRequests?.receive(from, message)
    if (refusal === undefined) this.#post(message)
    else this.execute(sendPeer(from, refusal))
    return from
  }

  #isUnreachable (host: string): boolean {
    const untilMs = this.#unreachableUntilMs.get(host)
    if (untilMs === undefined) return false
    if (performance.now() < untilMs) return true
    this.#unreachableUntilMs.delete(host)
    return false
  }

  #findOpen (host: string): OpenLink | undefined {
    const link = this.#links.get(host)
    if (link !== undefined && isClosed(link)) this.#handleLoss(host, link)
    return this.#links.get(host)
  }

  // When a peer ends its session, the stream on it may stay open without an end or an error.
  #detectClosed (): void {
    const nowMs = performance.now()
    this.#largeRequests?.expire(nowMs)
    for (const [host, link] of this.#links) if (isClosed(link) || isSilent(link, nowMs)) this.#handleLoss(host, link)
  }

  // A host whose name is not known yet is named by its address.
  #open (host: string): OpenLink | undefined {
    const address = this.#addresses.get(host) ?? host
    if (!isAddress(address) || this.#closed) return undefined
    const session = new Http2SessionManager(`http://${address}`, { pingIntervalMs: IDLE_PING_INTERVAL_MS, pingTimeoutMs: IDLE_PING_TIMEOUT_MS, pingIdleConnection: true })
    const sender = MessageSender.create()
    const packer = LinkPacker.create()
    const outbox = Outbox.create((frames, isAccepted) => {
      if (!sender.send(encodeMessage(this.#pack(packer, frames, isAccepted)))) this.#handleLoss(host, link)
    })
    const link: OpenLink = { address, sender, outbox, session, opened: false, liveness: CONFIRMED }
    this.#links.set(host, link)
    this.#run(host, link).catch(() => this.#handleLoss(host, link))
    session.connect().then(state => {
      link.opened = state !== 'error'
      if (!link.opened) this.#handleLoss(host, link)
    }, () => this.#handleLoss(host, link))
    setTimeout(() => {
      if (!link.opened) this.#handleLoss(host, link)
    }, OPEN_TIMEOUT_MS).unref()
    return link
  }

  async #run (host: string, link: OpenLink): Promise<void> {
    try {
      const unpacker = LinkUnpacker.create(this.#observers.account?.limits.peerMessageBytes)
      const stream = await link.session.request('POST', PEERS_PATH, REQUEST_HEADERS, {})
      link.stream = stream
      link.sender.open(stream)
      await receiveMessages(stream, packed => {
        link.session.notifyResponseByteRead(stream)
        const frames = this.#unpack(unpacker, packed)
        frames.forEach(frame => this.#receiveFrame(frame))
        if (frames.some(({ message }) => message.kind === ACCEPT_BATCHES.kind)) link.outbox.acceptBatches()
      })
    } catch {
      // A broken stream is handled like one that ended.
    }
    this.#handleLoss(host, link)
  }

  #handleLoss (host: string, link: OpenLink): void {
    if (this.#links.get(host) !== link) return
    const opened = link?.opened === true
    if (!opened) this.#unreachableUntilMs.set(host, performance.now() + RECONNECT_BACKOFF_MS)
    this.#drop(host)
    this.#reportLoss(host, opened)
  }

  #drop (host: string): void {
    const link = this.#links.get(host)
    if (link === undefined) return
    this.#links.delete(host)
    link.sender.close()
    // A session that is destroyed by its ping timeout ends its streams first and emits its error
    // later. If it were aborted in between, the error would have no listener.
    setTimeout(() => link.session.abort(), ABORT_DELAY_MS).unref()
  }

  #reportLoss (host: string, opened: boolean): void {
    if (this.#closed) return
    this.#largeRequests?.removeHost(host)
    for (const message of this.#onLinkLost(host, opened)) this.#post(message)
  }
}

// Pings a link that owes a sign of its peer; true once the ping is overdue. A link that does not open has a timeout of its own.
function isSilent (link: OpenLink, nowMs: number): boolean {
  if (link.stream === undefined) return false
  const { liveness, action } = checkLiveness(link.liveness, nowMs)
  link.liveness = liveness
  if (action === 'ping') link.stream.session?.ping(() => { link.liveness = recordPong(link.liveness) })
  return action === 'lose'
}

function isClosed ({ session }: OpenLink): boolean {
  const state = session.state()
  return state === 'closed' || state === 'error'
}
