import { expect } from 'chai'
import { LoadReport } from './load.js'
import { Log } from './log.js'

const createReport = (lines: string[], readProcessorMs: () => number): LoadReport => {
  const stream = { write: (line: string) => lines.push(line) } as unknown as NodeJS.WritableStream
  return LoadReport.create(Log.create({ host: 'h1', level: 'info', stream }), readProcessorMs)
}

describe('the report of the load', () => {
  it('names the messages of each second in which the process is busy, and how late its own timers were', () => {
    const lines: string[] = []
    let processorMs = 0
    const report = createReport(lines, () => processorMs)
    for (const atMs of [0, 100, 700]) report.observeMessage({ kind: 'membership/beat-due' }, atMs)
    for (let count = 0; count < 3; count++) report.observeMessage({ kind: 'admission/loan-wanted' }, 800)
    processorMs = 400
    report.observeMessage({ kind: 'membership/beat' }, 1_010)
    const { event, elapsedMs, longestHeartbeatMs, handled, processorMs: spent } = JSON.parse(lines[0]!)
    expect({ event, elapsedMs, longestHeartbeatMs, handled, spent }).to.deep.equal({ event: 'load', elapsedMs: 1_010, longestHeartbeatMs: 600, handled: ['membership/beat-due 3', 'admission/loan-wanted 3'], spent: 400 })
  })

  it('names the kinds of messages that took the longest', () => {
    const lines: string[] = []
    let processorMs = 0
    const report = createReport(lines, () => processorMs)
    report.observeMessage({ kind: 'membership/beat' }, 0)
    report.observeHandled({ kind: 'membership/beat' }, 2.6)
    for (let count = 0; count < 3; count++) report.observeHandled({ kind: 'shares/asked' }, 20)
    processorMs = 400
    report.observeMessage({ kind: 'membership/beat' }, 1_010)
    expect(JSON.parse(lines[0]!).took).to.deep.equal(['shares/asked 60 ms', 'membership/beat 3 ms'])
  })

  it('says nothing of a second in which the process was idle', () => {
    const lines: string[] = []
    const report = createReport(lines, () => 0)
    for (let atMs = 0; atMs < 5_000; atMs += 200) report.observeMessage({ kind: 'membership/beat-due' }, atMs)
    expect(lines).to.deep.equal([])
  })
})
