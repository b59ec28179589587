/** The processor time of messages between two hosts, both in this process: one at a time, and several in a turn of the loop. */
import type { Message } from '../src/core/message.js'
import { listenForPeers } from '../src/daemon/listen.js'
import { ConnectPeerLink } from '../src/peers/connect.js'
import { HybridLogicalClock } from '../src/timeline/clock.js'
import type { Row } from './report.js'

const ROUND_TRIPS = 6_000
const WARM_UP_ROUND_TRIPS = 2_000
const BURSTS = [1, 3, 10, 30]
const PAYLOAD_BYTES = 60

interface Exchange {
  readonly run: (roundTrips: number, burst: number) => Promise<void>
  readonly countBytes: () => number
}

function createRun (number: number): Message {
  const target = { database: `i-699713626b~178370515298${number % 3}`, owner: '10.1.0.39:7260', purpose: 'replica', term: 1, floor: { term: 2, offset: number } }
  const run = { kind: 'transactions/run', caller: `10.1.0.37:7260/5de402c1/${number % 40}`, attempt: 1, service: 'deployment', workspace: `w${number % 8}`, target, remainingMs: 800 - number % 700, payload: createPayload(number) }
  return run as Message
}

function createAnswer (number: number): Message {
  const answer = { kind: 'requests/finished', caller: `10.1.0.37:7260/5de402c1/${number % 40}`, attempt: 1, position: { term: 2, offset: number }, waitedMs: number % 17, load: number % 5, payload: createPayload(number) }
  return answer as Message
}

function createPayload (number: number): Uint8Array {
  return Buffer.from(`select ${number} ${Math.imul(number, 2_654_435_761) >>> 0}`.padEnd(PAYLOAD_BYTES))
}

/** Passes what arrived to `handle`, all of it in one turn, as a loop does. */
function createInbox (handle: (message: Message) => void): (message: Message) => void {
  let waiting: Message[] = []
  return message => {
    if (waiting.push(message) > 1) return
    setImmediate(() => {
      const turn = waiting
      waiting = []
      for (const next of turn) handle(next)
    })
  }
}

async function openExchange (): Promise<Exchange> {
  let bytes = 0
  let answered = 0
  let awaited = 0
  let resume = (): void => undefined
  const observers = { clock: HybridLogicalClock.create(), onTraffic: (traffic: { readonly direction: string, readonly bytes: number }) => { if (traffic.direction === 'sent') bytes += traffic.bytes } }
  const asking = ConnectPeerLink.create('10.1.0.37:7260', createInbox(() => {
    if (++answered === awaited) resume()
  }), () => [], observers)
  let number = 0
  const serving = ConnectPeerLink.create('10.1.0.39:7260', createInbox(() => serving.execute({ kind: 'peer/send', to: '10.1.0.37:7260', message: createAnswer(number++) })), () => [], observers)
  const [first, second] = await Promise.all([asking, serving].map(link => listenForPeers('127.0.0.1:0', () => undefined, error => { throw error }, link.handleRequest)))
  asking.learnAddresses([{ host: '10.1.0.39:7260', peers: second!.address }])
  serving.learnAddresses([{ host: '10.1.0.37:7260', peers: first!.address }])
  const run = async (roundTrips: number, burst: number): Promise<void> => {
    for (let sent = 0; sent < roundTrips; sent += burst) {
      const turn = new Promise<void>(resolve => { resume = resolve })
      awaited = answered + burst
      for (let index = 0; index < burst; index++) asking.execute({ kind: 'peer/send', to: '10.1.0.39:7260', message: createRun(sent + index) })
      await turn
    }
  }
  return { run, countBytes: () => bytes }
}

/**
 * Measures the processor time and the bytes of a round trip, which is two messages.
 * @example await runLinks()
 */
export async function runLinks (): Promise<readonly Row[]> {
  const { run, countBytes } = await openExchange()
  const rows: Row[] = []
  await run(WARM_UP_ROUND_TRIPS, 1)
  for (const burst of BURSTS) {
    await run(WARM_UP_ROUND_TRIPS, burst)
    const startBytes = countBytes()
    const start = process.cpuUsage()
    await run(ROUND_TRIPS, burst)
    const used = process.cpuUsage(start)
    rows.push({ messagesATurn: burst, cpuUsARoundTrip: Math.round((used.user + used.system) / ROUND_TRIPS), bytesARoundTrip: Math.round((countBytes() - startBytes) / ROUND_TRIPS) })
  }
  return rows
}
