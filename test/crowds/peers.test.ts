/** Crowds at the address at which a host listens for its peers. */
import { once } from 'node:events'
import { connect as connectHttp2 } from 'node:http2'
import { deflateRawSync } from 'node:zlib'
import { create } from '@bufbuild/protobuf'
import { createClient } from '@connectrpc/connect'
import { createGrpcTransport } from '@connectrpc/connect-node'
import { PackedFrameSchema, Peers, type PackedFrame } from '../../src/gen/fulmartally_pb.js'
import { LineSite } from './support/linesite.js'
import { runCrowd } from './support/run.js'

const CONNECTIONS = 400
const LINKS = 12
const FRAMES = 10
const INFLATED_BYTES = 60_000_000
const FRAME = deflateRawSync(Buffer.alloc(INFLATED_BYTES), { windowBits: 13 })
const LARGE_FRAME_BYTES = 20_000_000
const HALF_SENT_LINKS = 24
const STATED_BYTES = 16_000_000
const HALF_SENT_BYTES = 15_000_000
const PIECE_BYTES = 65_536
/** How long a link that sends frames stays at most. */
const LINK_MS = 4_000

async function * createFrames (value: Uint8Array, kind: 'frame' | 'deflatedBatch'): AsyncGenerator<PackedFrame> {
  for (let sent = 0; sent < FRAMES; sent++) yield create(PackedFrameSchema, { content: { case: kind, value } })
}

async function sendFrames (address: string, value: Uint8Array, kind: 'frame' | 'deflatedBatch'): Promise<void> {
  const client = createClient(Peers, createGrpcTransport({ baseUrl: `http://${address}` }))
  try {
    for await (const answer of client.connect(createFrames(value, kind), { signal: AbortSignal.timeout(LINK_MS) })) answer satisfies PackedFrame
  } catch {
    // The host may end the link of such a peer.
  }
}

// Sends the larger part of one message, as fast as the host reads, and stops.
async function sendHalf (address: string): Promise<void> {
  const session = connectHttp2(`http://${address}`)
  session.on('error', () => undefined)
  const stream = session.request({ ':method': 'POST', ':path': '/fulmartally.v1.Peers/Connect', 'content-type': 'application/grpc+proto', te: 'trailers' }, { endStream: false })
  stream.on('error', () => undefined)
  stream.resume()
  const header = Buffer.alloc(5)
  header.writeUInt32BE(STATED_BYTES, 1)
  stream.write(header)
  const endsAtMs = performance.now() + LINK_MS
  for (let sent = 0; sent < HALF_SENT_BYTES && !stream.destroyed && performance.now() < endsAtMs; sent += PIECE_BYTES) {
    // A link that the host has ended drains no more.
    if (!stream.write(Buffer.alloc(PIECE_BYTES))) await Promise.race([once(stream, 'drain'), once(stream, 'close')]).catch(() => undefined)
  }
}

async function runLinks (value: Uint8Array, kind: 'frame' | 'deflatedBatch'): Promise<void> {
  await using site = await LineSite.create()
  await Promise.all(Array.from({ length: LINKS }, async () => await sendFrames(site.peers[1]!, value, kind)))
  await site.checkSound()
  await site.askOrdinary()
  if (process.env.CROWD_USE !== undefined) process.stdout.write(`      ${site.describeUse()}\n`)
}

describe('a crowd at the address for peers', () => {
  it('sends frames that inflate', async () => {
    await runLinks(FRAME, 'frame')
  })

  it('sends batches that inflate', async () => {
    await runLinks(FRAME, 'deflatedBatch')
  })

  it('sends large frames that cannot be inflated', async () => {
    await runLinks(Buffer.alloc(LARGE_FRAME_BYTES, 0xff), 'frame')
  })

  it('stops half-way in large messages of many links', async () => {
    await using site = await LineSite.create()
    await Promise.all(Array.from({ length: HALF_SENT_LINKS }, async () => await sendHalf(site.peers[1]!)))
    await site.checkSound()
    await site.askOrdinary()
    if (process.env.CROWD_USE !== undefined) process.stdout.write(`      ${site.describeUse()}\n`)
  })

  it('opens connections to peers without a first message', async () => {
    await runCrowd(async () => await LineSite.create(), site => site.peers[1]!, CONNECTIONS, { reads: true, returns: true, send: async connection => await connection.write('') })
  })

  it('stops half-way in the preface of a link', async () => {
    await runCrowd(async () => await LineSite.create(), site => site.peers[1]!, CONNECTIONS, { reads: true, returns: true, send: async connection => await connection.write('PRI * HTTP/2.0\r\n') })
  })
})
