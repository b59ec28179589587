import { expect } from 'chai'
import { compactLog, createLog, findLastPoint, type Log } from './log.js'
import { DEFAULT_LIMITS } from './replica.js'

const COUNT = 400

describe('the entries that a log keeps before its snapshot', () => {
  const compact = (bytes: number): Log<number, { readonly kind: string }> => {
    const entries = Array.from({ length: COUNT }, (_, index) => ({ index: index + 1, term: 1, command: { kind: 'put' }, bytes }))
    const { entriesKept, bytesKept } = DEFAULT_LIMITS
    return compactLog(createLog({ index: 0, term: 0, state: 0 }, entries), 1, COUNT - 10, entriesKept, bytesKept)
  }
  const listKept = (log: Log<number, { readonly kind: string }>): readonly number[] => log.entries.filter(({ index }) => index <= log.snapshot.index).map(({ index }) => index)

  // Guards against control hosts that run out of memory under changes of a large configuration (review/1).
  it('have a bounded size, whatever each of them holds', () => {
    const log = compact(1_100_000)
    expect(listKept(log)).to.deep.equal([388, 389, 390])
    expect(findLastPoint(log).index).to.equal(COUNT)
    expect(listKept(compact(DEFAULT_LIMITS.bytesKept + 1))).to.deep.equal([])
  })

  it('are a bounded number while they are small', () => {
    expect(listKept(compact(100))).to.have.length(DEFAULT_LIMITS.entriesKept)
  })
})
