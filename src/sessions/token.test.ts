/** Session tokens round-trip through the caller, and malformed ones are refused. */
import { expect } from 'chai'
import fc from 'fast-check'
import { coversPosition, type LogPosition } from '../core/position.js'
import { advanceSession, EMPTY_SESSION, formatToken, parseToken, getSeenPosition, type Session } from './token.js'

const SEED = 7
const RUNS = 2_000
const PositionArbitrary = fc.record({ term: fc.nat(1_000_000), offset: fc.nat(1_000_000_000) })
const GroupArbitrary = fc.stringMatching(/^[A-Za-z0-9][A-Za-z0-9._-]{0,20}$/)
const StepsArbitrary = fc.array(fc.tuple(GroupArbitrary, PositionArbitrary), { maxLength: 12 })

const advanceAll = (steps: ReadonlyArray<readonly [string, LogPosition]>): Session =>
  steps.reduce<Session>((session, [group, position]) => advanceSession(session, group, position), EMPTY_SESSION)

describe('session tokens', () => {
  it('round-trip, and cover all positions that the session has seen', () => {
    fc.assert(fc.property(StepsArbitrary, steps => {
      const parsed = parseToken('rota', formatToken('rota', advanceAll(steps)))
      expect(parsed.isOk).to.equal(true)
      const session = parsed.isOk ? parsed.value : EMPTY_SESSION
      for (const [group, position] of steps) expect(coversPosition(getSeenPosition(session, group), position)).to.equal(true)
    }), { seed: SEED, numRuns: RUNS })
  })

  it('are refused without an exception when they are malformed', () => {
    fc.assert(fc.property(fc.string({ maxLength: 60 }), text => {
      const parsed = parseToken('rota', text)
      if (parsed.isErr) expect(parsed.error).to.include({ code: 'bad-session', effect: 'not-run' })
      else expect(text === '' || text.startsWith('v1:rota:')).to.equal(true)
    }), { seed: SEED, numRuns: RUNS })
  })

  it('are refused for a wrong version, service or position, a duplicate group and trailing text', () => {
    const results = ['v2:rota:', 'v1:other:a=1.2', 'v1:rota:a=1', 'v1:rota:a=1.2,a=1.3', 'v1:rota:a=1.2:x'].map(token => parseToken('rota', token))
    expect(results.every(result => result.isErr)).to.equal(true)
  })
})
