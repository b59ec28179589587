import { expect } from 'chai'
import { checkLiveness, CONFIRMED, recordPong, recordSent, type Liveness } from './liveness.js'

const CHECK_INTERVAL_MS = 100

/** Checks a link from one time to another; returns the times of its pings, and when it was lost. */
function runChecks (start: Liveness, fromMs: number, untilMs: number, sendsEveryMs: number, answers: boolean): { readonly pings: readonly number[], readonly lostAtMs?: number } {
  const pings: number[] = []
  let liveness = start
  for (let nowMs = fromMs; nowMs <= untilMs; nowMs += CHECK_INTERVAL_MS) {
    if (nowMs % sendsEveryMs === 0) liveness = recordSent(liveness, nowMs)
    const check = checkLiveness(liveness, nowMs)
    liveness = check.liveness
    if (check.action === 'lose') return { pings, lostAtMs: nowMs }
    if (check.action === 'ping') {
      pings.push(nowMs)
      if (answers) liveness = recordPong(liveness)
    }
  }
  return { pings }
}

describe('the liveness of a link', () => {
  it('is not asked for while nothing is sent', () => {
    expect(runChecks(CONFIRMED, 100, 60_000, Infinity, true).pings).to.deep.equal([])
  })

  it('is asked for about once a second while messages are sent', () => {
    const { pings, lostAtMs } = runChecks(CONFIRMED, 100, 10_000, 100, true)
    expect(pings).to.have.length.within(8, 10)
    expect(lostAtMs).to.equal(undefined)
  })

  it('ends two seconds after a message that reached nobody', () => {
    expect(runChecks(recordSent(CONFIRMED, 0), 0, 10_000, Infinity, false)).to.deep.equal({ pings: [1_000], lostAtMs: 2_100 })
  })

  it('survives a suspension of this host, after which the answer is read', () => {
    const pinged = checkLiveness(recordSent(CONFIRMED, 0), 1_000).liveness
    const resumed = checkLiveness(pinged, 9_000)
    expect(resumed.action).to.equal('none')
    expect(checkLiveness(recordPong(resumed.liveness), 9_100).action).to.equal('none')
  })
})
