import { EventEmitter } from 'node:events'
import type { Socket } from 'node:net'
import { expect } from 'chai'
import { pollUntil } from '../../test/support/poll.js'
import type { HostMessage } from '../messages.js'
import { MemoryAccount, type ConnectionShare } from './account.js'
import type { UseMeasured } from './messages.js'
import type { MemoryLimits } from './state.js'

const LIMITS: MemoryLimits = { heldBytes: 1_000_000, connections: 4, peerMessageBytes: 1, startMs: 10_000, messageMs: 30_000, unreadMs: 20_000 }

/** A socket with a buffer of its own. */
class FakeSocket extends EventEmitter {
  writableLength = 0
  bytesWritten = 0
  destroyed = false

  static create (): FakeSocket {
    return new FakeSocket()
  }

  readonly destroy = (): void => {
    this.destroyed = true
    this.emit('close')
  }
}

function openConnection (account: MemoryAccount): { readonly socket: FakeSocket, readonly share: ConnectionShare | undefined } {
  const socket = FakeSocket.create()
  return { socket, share: account.open(socket as unknown as Socket, 'caller') }
}

async function runNext (): Promise<void> {
  await new Promise(resolve => setImmediate(resolve))
  await new Promise(resolve => setImmediate(resolve))
}

describe('the account of a process', () => {
  it('adds what connections hold, and releases it when they end', async () => {
    await using account = MemoryAccount.create(LIMITS, () => undefined)
    const [first, second] = [openConnection(account), openConnection(account)]
    first.share!.update(1_000, true)
    second.socket.writableLength = 50_000
    second.share!.update(200, false)
    expect(account.bytes).to.equal(51_200)
    first.share!.update(10, false)
    second.socket.destroy()
    expect(account.bytes).to.equal(10)
    first.socket.destroy()
    expect([account.bytes, account.connections]).to.deep.equal([0, 0])
  })

  it('serves the large requests of one workspace from half of its limit, and those of others from the rest', async () => {
    await using account = MemoryAccount.create(LIMITS, () => undefined)
    const [first, second, other] = [openConnection(account), openConnection(account), openConnection(account)]
    first.share!.setParty('parish')
    second.share!.setParty('parish')
    other.share!.setParty('school')
    first.share!.update(600_000, false)
    expect(first.share!.isAdmitted()).to.equal(true)
    second.share!.update(100_000, false)
    other.share!.update(100_000, false)
    expect([second, other].map(({ share }) => share!.isAdmitted())).to.deep.equal([false, true])
    second.share!.update(1_000, false)
    expect(second.share!.isAdmitted()).to.equal(true)
    first.socket.destroy()
    second.share!.update(100_000, false)
    expect(second.share!.isAdmitted()).to.equal(true)
  })

  it('gives a time limit to unread answers that many connections together have no room for', async () => {
    await using account = MemoryAccount.create({ ...LIMITS, connections: 300 }, () => undefined)
    const [slow, ordinary] = [openConnection(account), openConnection(account)]
    for (const { share } of [slow, ordinary]) share!.finishStart()
    slow.socket.writableLength = 5_000
    ordinary.socket.writableLength = 2_000
    for (const { share } of [slow, ordinary]) share!.update(0, false)
    expect([slow, ordinary].map(({ share }) => share!.use.stage)).to.deep.equal(['unread', 'idle'])
  })

  it('does not replace a connection whose answer was read meanwhile', async () => {
    await using account = MemoryAccount.create(LIMITS, () => undefined)
    const connections = [openConnection(account), openConnection(account), openConnection(account)]
    for (const { share, socket } of connections) {
      share!.finishStart()
      socket.writableLength = 50_000
      share!.update(0, false)
    }
    connections[0]!.socket.writableLength = 0
    openConnection(account)
    expect(connections.map(({ socket }) => socket.destroyed)).to.deep.equal([false, true, false])
  })

  it('asks for a decision at once when it is over its limit', async () => {
    const posted: HostMessage[] = []
    await using account = MemoryAccount.create(LIMITS, message => posted.push(message))
    const { share } = openConnection(account)
    share!.finishStart()
    share!.update(2_000_000, true)
    await runNext()
    const measured = posted[0] as UseMeasured
    expect([posted.length, measured.bytes, measured.waiting.map(use => use.stage)]).to.deep.equal([1, 2_000_000, ['receiving']])
  })

  it('reads connections on once there is room again', async () => {
    await using account = MemoryAccount.create(LIMITS, () => undefined)
    const [holder, waiter] = [openConnection(account), openConnection(account)]
    holder.share!.update(2_000_000, true)
    waiter.share!.update(100_000, true)
    let resumed = 0
    expect(waiter.share!.hasRoom()).to.equal(false)
    waiter.share!.awaitRoom(() => { resumed += 1 })
    await runNext()
    expect(resumed).to.equal(0)
    holder.socket.destroy()
    await pollUntil('the connection to be read on', async () => resumed > 0)
    expect([resumed, waiter.share!.hasRoom()]).to.deep.equal([1, true])
  })

  // Guards against a request that ends with its connection although it runs, decided on what was measured before.
  it('leaves a connection that waits for nothing any more', async () => {
    await using account = MemoryAccount.create(LIMITS, () => undefined)
    const [done, waiting] = [openConnection(account), openConnection(account)]
    for (const { share } of [done, waiting]) {
      share!.finishStart()
      share!.update(600_000, true)
    }
    done.share!.update(600_000, false)
    for (const { share } of [done, waiting]) account.execute({ kind: 'connection/close', connection: share!.number, reason: 'memory-full' })
    expect([done, waiting].map(({ socket }) => socket.destroyed)).to.deep.equal([false, true])
  })

  it('does not wait for the room of a connection that has ended', async () => {
    await using account = MemoryAccount.create(LIMITS, () => undefined)
    const [holder, ended, waiter] = [openConnection(account), openConnection(account), openConnection(account)]
    holder.share!.update(2_000_000, true)
    ended.socket.destroy()
    const resumed: string[] = []
    ended.share!.awaitRoom(() => resumed.push('ended'))
    waiter.share!.awaitRoom(() => resumed.push('waiter'))
    holder.socket.destroy()
    await pollUntil('the connection to be read on', async () => resumed.includes('waiter'))
    expect(resumed).to.deep.equal(['waiter'])
  })

  it('closes the oldest connection that has not started for a new one, and refuses a new one when all are idle', async () => {
    await using account = MemoryAccount.create(LIMITS, () => undefined)
    const connections = [openConnection(account), openConnection(account), openConnection(account)]
    connections[0]!.share!.finishStart()
    const replacing = openConnection(account)
    expect(connections.map(({ socket }) => socket.destroyed)).to.deep.equal([false, true, false])
    for (const { share } of [connections[2]!, replacing]) share!.finishStart()
    const refused = openConnection(account)
    await runNext()
    expect([refused.share, refused.socket.destroyed]).to.deep.equal([undefined, true])
  })
})
