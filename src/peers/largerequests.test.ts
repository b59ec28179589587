import { expect } from 'chai'
import type { Message } from '../core/message.js'
import { MemoryAccount } from '../memory/account.js'
import { LargeRequests } from './largerequests.js'

const LIMITS = { heldBytes: 1_000_000, connections: 1, peerMessageBytes: 1, startMs: 1, messageMs: 1, unreadMs: 1 }
/** The deadline of a request, and the time in which its answer may still come, have passed. */
const OVERDUE_MS = -2_000

function createRequest (caller: string, bytes: number, remainingMs: number): Message {
  return { kind: 'transactions/run', caller, attempt: 1, payload: new Uint8Array(bytes), remainingMs } as Message
}

describe('large requests on links', () => {
  // Guards against a host that refuses each large request because of one whose answer was lost.
  it('take no room once they could not be answered any more, also where they had taken all of it', async () => {
    await using account = MemoryAccount.create(LIMITS, () => undefined)
    const requests = LargeRequests.create(account)
    expect(requests.receive('host-2', createRequest('c1', 1_200_000, OVERDUE_MS))).to.equal(undefined)
    expect(requests.receive('host-2', createRequest('c2', 100_000, 1_000))).to.equal(undefined)
    expect(account.bytes).to.equal(100_000)
    expect(requests.send('host-3', createRequest('c3', 500_000, OVERDUE_MS))).to.equal(undefined)
    expect(requests.send('host-3', createRequest('c4', 500_000, 1_000))).to.equal(undefined)
  })
})
