import { expect } from 'chai'
import { isSent, PayloadLedger } from './payloads.js'

const LIMITS = { heldBytes: 4_000_000, connections: 1, peerMessageBytes: 1, startMs: 1, messageMs: 1, unreadMs: 1 }

describe('large requests between hosts', () => {
  it('leave for an owner up to half of what this host may hold, and one of any size alone', () => {
    expect([isSent(LIMITS, 0, 5_000_000), isSent(LIMITS, 1_000_000, 1_000_000), isSent(LIMITS, 1_000_001, 1_000_000)]).to.deep.equal([true, true, false])
  })

  it('count until they are answered, their host is lost, or their answer is overdue', () => {
    let total = 0
    const ledger = PayloadLedger.create(change => { total += change })
    ledger.add('c1', 'host-1', 100, 500, 0)
    ledger.add('c2', 'host-1', 200, 500, 0)
    ledger.add('c3', 'host-2', 400, 5_000, 0)
    expect([total, ledger.countBytes('host-1')]).to.deep.equal([700, 300])
    ledger.remove('c1')
    ledger.remove('c1')
    expect(total).to.equal(600)
    ledger.add('c4', 'host-2', 800, 5_000, 1_501)
    expect([total, ledger.countBytes('host-1')]).to.deep.equal([1_200, 0])
    ledger.removeHost('host-2')
    expect(total).to.equal(0)
  })

  it('wait for a while where a host had no room', () => {
    const ledger = PayloadLedger.create()
    ledger.markFull('host-1', 1_000)
    expect([ledger.isFull('host-1', 1_499), ledger.isFull('host-1', 1_500), ledger.isFull('host-2', 1_000)]).to.deep.equal([true, false, false])
  })
})
