import { expect } from 'chai'
import type { Message } from '../core/message.js'
import { listenForPeers } from '../daemon/listen.js'
import { HybridLogicalClock } from '../timeline/clock.js'
import { ConnectPeerLink } from './connect.js'

const POLL_MS = 20
/** Longer than a message takes on loopback. */
const SETTLE_MS = 200
const OBSERVERS = { clock: HybridLogicalClock.create(), onTraffic: () => undefined }
const HINT: Message & { readonly leader: string, readonly epoch: number } = { kind: 'membership/leader-hint', leader: 'h1', epoch: 1 }

async function pollUntil (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, POLL_MS))
}

const throwError = (error: Error): never => { throw error }

describe('a link between hosts', () => {
  it('reopens after the other host ended its session and restarted at the same address', async () => {
    const received: Message[] = []
    await using link = ConnectPeerLink.create('h1', () => undefined, () => [], OBSERVERS)
    const receiver = ConnectPeerLink.create('h2', message => { received.push(message) }, () => [], OBSERVERS)
    const first = await listenForPeers('127.0.0.1:0', () => undefined, throwError, receiver.handleRequest)
    link.learnAddresses([{ host: 'h2', peers: first.address }])
    link.execute({ kind: 'peer/send', to: 'h2', message: HINT })
    await pollUntil(() => received.length === 1)
    await first[Symbol.asyncDispose]()
    await using second = await listenForPeers(first.address, () => undefined, throwError, receiver.handleRequest)
    expect(second.address).to.equal(first.address)
    await pollUntil(() => {
      link.execute({ kind: 'peer/send', to: 'h2', message: HINT })
      return received.length > 1
    })
  })

  it('reports the end of a session when it ends, not with the next message after the host restarted', async () => {
    const lost: string[] = []
    await using link = ConnectPeerLink.create('h1', () => undefined, host => {
      lost.push(host)
      return []
    }, OBSERVERS)
    const receiver = ConnectPeerLink.create('h2', () => undefined, () => [], OBSERVERS)
    const first = await listenForPeers('127.0.0.1:0', () => undefined, throwError, receiver.handleRequest)
    link.learnAddresses([{ host: 'h2', peers: first.address }])
    link.execute({ kind: 'peer/send', to: 'h2', message: HINT })
    await new Promise(resolve => setTimeout(resolve, SETTLE_MS))
    await first[Symbol.asyncDispose]()
    await pollUntil(() => lost.length > 0)
    await using second = await listenForPeers(first.address, () => undefined, throwError, receiver.handleRequest)
    expect(second.address).to.equal(first.address)
    link.execute({ kind: 'peer/send', to: 'h2', message: { kind: 'transactions/run' } })
    await new Promise(resolve => setTimeout(resolve, SETTLE_MS))
    expect(lost).to.deep.equal(['h2'])
  })

  it('reports the end of a link to an address that its host has left, before it says that the new one can not be reached', async () => {
    const lost: boolean[] = []
    const gone = await listenForPeers('127.0.0.1:0', () => undefined, throwError)
    await gone[Symbol.asyncDispose]()
    await using link = ConnectPeerLink.create('h1', () => undefined, (_host, opened) => {
      lost.push(opened)
      return []
    }, OBSERVERS)
    const receiver = ConnectPeerLink.create('h2', () => undefined, () => [], OBSERVERS)
    await using first = await listenForPeers('127.0.0.1:0', () => undefined, throwError, receiver.handleRequest)
    link.learnAddresses([{ host: 'h2', peers: first.address }])
    link.execute({ kind: 'peer/send', to: 'h2', message: { kind: 'transactions/run' } })
    await new Promise(resolve => setTimeout(resolve, SETTLE_MS))
    link.learnAddresses([{ host: 'h2', peers: gone.address }])
    link.execute({ kind: 'peer/send', to: 'h2', message: { kind: 'transactions/run' } })
    await pollUntil(() => lost.includes(false))
    expect(lost).to.deep.equal([true, false])
  })

  it('reports that nothing was sent to a host that could not be reached', async () => {
    const lost: boolean[] = []
    const gone = await listenForPeers('127.0.0.1:0', () => undefined, throwError)
    await gone[Symbol.asyncDispose]()
    await using link = ConnectPeerLink.create('h1', () => undefined, (_host, opened) => {
      lost.push(opened)
      return []
    }, OBSERVERS)
    const run = { kind: 'transactions/run' } as const
    link.execute({ kind: 'peer/send', to: gone.address, message: run })
    await pollUntil(() => lost.length === 1)
    link.execute({ kind: 'peer/send', to: gone.address, message: run })
    expect(lost).to.deep.equal([false, false])
  })
})
