/** Links between hosts that accept batches, and between those and hosts of the version before. */
import { createClient, type ConnectRouter } from '@connectrpc/connect'
import { createGrpcTransport } from '@connectrpc/connect-node'
import { expect } from 'chai'
import type { Message } from '../core/message.js'
import { listenForPeers, type ListeningServer } from '../daemon/listen.js'
import { Peers, type PackedFrame } from '../gen/fulmartally_pb.js'
import { HybridLogicalClock } from '../timeline/clock.js'
import { ConnectPeerLink } from './connect.js'
import { decodeFrame, encodeFrame, LinkPacker, LinkUnpacker } from './frame.js'
import { isPeerMessage } from './kinds.js'
import { SendQueue } from '../../test/support/sendqueue.js'

const POLL_MS = 20
const BURST = 10
const STAMP = { wallMs: 1, count: 0 }
const OBSERVERS = { clock: HybridLogicalClock.create(), onTraffic: () => undefined }

interface Hint extends Message {
  readonly kind: 'membership/leader-hint'
  readonly leader: string
  readonly epoch: number
}

function createHint (epoch: number): Hint {
  return { kind: 'membership/leader-hint', leader: 'h1', epoch }
}

function packHint (packer: LinkPacker, epoch: number): PackedFrame {
  return packer.packFrame(encodeFrame('h1', createHint(epoch), STAMP).bytes)
}

async function pollUntil (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, POLL_MS))
}

function listen (routes: (router: ConnectRouter) => void, receiver?: ConnectPeerLink): Promise<ListeningServer> {
  return listenForPeers('127.0.0.1:0', routes, error => { throw error }, receiver?.handleRequest)
}

/** Records what arrives on a stream, as its peer packed it. */
function listenRaw (received: PackedFrame[], answers: readonly PackedFrame[]): Promise<ListeningServer> {
  return listen(router => router.service(Peers, {
    connect: async function * (frames) {
      yield * answers
      for await (const packed of frames) received.push(packed)
    }
  }))
}

/** Lists the epochs of the hints in each message of a stream. */
function unpackEpochs (received: readonly PackedFrame[]): ReadonlyArray<readonly number[]> {
  const unpacker = LinkUnpacker.create()
  return received.map(packed => unpacker.unpack(packed).map(frame => (decodeFrame(frame).message as Hint).epoch))
}

function sendBurst (link: ConnectPeerLink, firstEpoch: number): void {
  for (let index = 0; index < BURST; index++) link.execute({ kind: 'peer/send', to: 'h2', message: createHint(firstEpoch + index) })
}

describe('frames that are sent in one turn', () => {
  it('travel as one message once the peer accepts batches, and in order', async () => {
    const received: PackedFrame[] = []
    const accepted = LinkPacker.create().packFrame(encodeFrame('h2', { kind: 'peers/batches-accepted' }, STAMP).bytes)
    await using peer = await listenRaw(received, [accepted])
    await using link = ConnectPeerLink.create('h1', () => undefined, () => [], OBSERVERS)
    link.learnAddresses([{ host: 'h2', peers: peer.address }])
    let sent = 0
    while (unpackEpochs(received).every(epochs => epochs.length < BURST)) {
      sendBurst(link, sent)
      sent += BURST
      await pollUntil(() => unpackEpochs(received).flat().length === sent)
    }
    const epochs = unpackEpochs(received)
    expect(epochs.flat()).to.deep.equal(Array.from({ length: sent }, (_, index) => index))
    expect(epochs.at(-1)).to.have.length(BURST)
  })

  it('travel one by one to a host of the version before, which does not accept batches', async () => {
    const received: PackedFrame[] = []
    await using peer = await listenRaw(received, [])
    await using link = ConnectPeerLink.create('h1', () => undefined, () => [], OBSERVERS)
    link.learnAddresses([{ host: 'h2', peers: peer.address }])
    sendBurst(link, 0)
    await pollUntil(() => received.length === BURST)
    expect(received.map(packed => packed.content.case)).to.deep.equal(Array(BURST).fill('frame'))
    expect(unpackEpochs(received)).to.deep.equal(Array.from({ length: BURST }, (_, index) => [index]))
  })

  it('all arrive in order when some are larger than a batch may be', async () => {
    const lengths: number[] = []
    const receiver = ConnectPeerLink.create('h2', message => { lengths.push((message as Hint).leader.length) }, () => [], OBSERVERS)
    await using peer = await listen(() => undefined, receiver)
    await using link = ConnectPeerLink.create('h1', () => undefined, () => [], OBSERVERS)
    link.learnAddresses([{ host: 'h2', peers: peer.address }])
    const sent: number[] = []
    for (let turn = 0; turn < 20; turn++) {
      for (const length of [10, 8_100, 30, 9_000, 16_300, 16_384, 40_000, 5, 0, 100_000]) {
        sent.push(length)
        link.execute({ kind: 'peer/send', to: 'h2', message: { ...createHint(turn), leader: 'x'.repeat(length) } as Message })
      }
      await new Promise(resolve => setTimeout(resolve, POLL_MS))
    }
    await pollUntil(() => lengths.length >= sent.length)
    expect(lengths).to.deep.equal(sent)
  })

  it('all arrive at the slices of the peer, in order', async () => {
    const epochs: number[] = []
    const receiver = ConnectPeerLink.create('h2', message => { epochs.push((message as Hint).epoch) }, () => [], OBSERVERS)
    await using peer = await listen(() => undefined, receiver)
    await using link = ConnectPeerLink.create('h1', () => undefined, () => [], OBSERVERS)
    link.learnAddresses([{ host: 'h2', peers: peer.address }])
    for (let sent = 0; sent < 500; sent += BURST) {
      sendBurst(link, sent)
      if (sent % 50 === 0) await new Promise(resolve => setTimeout(resolve, POLL_MS))
    }
    await pollUntil(() => epochs.length >= 500)
    expect(epochs).to.deep.equal(Array.from({ length: 500 }, (_, index) => index))
  })
})

describe('the receiving end of a stream', () => {
  const openStream = async (lost: string[], received: Message[]) => {
    const receiver = ConnectPeerLink.create('h2', message => { received.push(message) }, host => {
      lost.push(host)
      return []
    }, OBSERVERS)
    const peer = await listen(() => undefined, receiver)
    const queue = SendQueue.create<PackedFrame>()
    const answers = createClient(Peers, createGrpcTransport({ baseUrl: `http://${peer.address}` })).connect(queue)[Symbol.asyncIterator]()
    return { queue, answers, [Symbol.asyncDispose]: () => peer[Symbol.asyncDispose]() }
  }

  it('understands a host of the version before, and sends it nothing but a kind that it ignores', async () => {
    const received: Message[] = []
    await using stream = await openStream([], received)
    const packer = LinkPacker.create()
    for (let epoch = 0; epoch < BURST; epoch++) stream.queue.push(packHint(packer, epoch), 1)
    await pollUntil(() => received.length === BURST)
    const first = await stream.answers.next()
    expect(first.value.content.case).to.equal('frame')
    const [frame] = LinkUnpacker.create().unpack(first.value)
    expect(isPeerMessage(decodeFrame(frame!).message)).to.equal(false)
    stream.queue.close()
    expect((await stream.answers.next()).done).to.equal(true)
  })

  it('ends the link at a broken batch, as at a broken frame, and delivers none of it', async () => {
    for (const kind of ['frame', 'batch', 'deflatedBatch'] as const) {
      const lost: string[] = []
      const received: Message[] = []
      await using stream = await openStream(lost, received)
      const packer = LinkPacker.create()
      stream.queue.push(packHint(packer, 0), 1)
      await pollUntil(() => received.length === 1)
      const hints = kind === 'deflatedBatch' ? [createLarge(), createLarge()] : [1, 2].map(epoch => encodeFrame('h1', createHint(epoch), STAMP).bytes)
      const next = kind === 'frame' ? packer.packFrame(hints[0]!) : packer.packBatch(hints)
      expect(next.content.case).to.equal(kind)
      stream.queue.push({ ...next, content: { case: kind, value: next.content.value!.subarray(0, -4) } } as PackedFrame, 1)
      await pollUntil(() => lost.length === 1)
      expect(lost).to.deep.equal(['h1'])
      expect(received).to.have.length(1)
    }
  })

  it('ends the link when a batch was lost before the next one', async () => {
    const lost: string[] = []
    const received: Message[] = []
    await using stream = await openStream(lost, received)
    const packer = LinkPacker.create()
    const packNext = (): PackedFrame => packer.packBatch([createLarge()])
    stream.queue.push(packer.packBatch([encodeFrame('h1', createHint(0), STAMP).bytes]), 1)
    await pollUntil(() => received.length === 1)
    packNext()
    stream.queue.push(packNext(), 1)
    await pollUntil(() => lost.length === 1)
    expect(received).to.have.length(1)
  })
})

function createLarge (): Uint8Array {
  return encodeFrame('h1', { ...createHint(1), leader: Array.from({ length: 200 }, (_, index) => `host-${index}`).join() } as Message, STAMP).bytes
}
