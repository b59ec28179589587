import { expect } from 'chai'
import { formatHistory } from '../cli/explain.js'
import { findCause } from './causes.js'
import { HistoryReader, type RequestHistory } from './history.js'

const AT_MS = Date.parse('2026-12-04T10:00:00.000Z')

function createLine (afterMs: number, host: string, msg: string, fields: object = {}): string {
  const wallMs = AT_MS + afterMs
  return JSON.stringify({ name: 'fulmartallyd', host, level: 30, ...fields, stamp: [wallMs, 0], msg, time: new Date(wallMs).toISOString(), v: 0 })
}

function createEnd (afterMs: number, outcome: string, fields: object): string {
  return createLine(afterMs, 'h1', `requests: Request r1 was ${outcome}.`, { request: 'r1', workspace: 'parish', group: 'a', elapsedMs: 30, ...fields })
}

function readHistory (lines: readonly string[]): RequestHistory {
  const reader = HistoryReader.create('r1')
  for (const line of lines) reader.add(line)
  return reader.finish()
}

const NOISE = [
  createLine(-60_000, 'h1', 'daemon: Host h1 started; callers connect to h1:1.'),
  createLine(-20, 'h1', 'requests: Request r2 was answered.', { request: 'r2' }),
  'Error: not a line of the log',
  '{"half":'
]

describe('the history of a request', () => {
  it('attributes a refusal within the rate to the start of the host', () => {
    const started = createLine(-700, 'h1', 'daemon: Host h1 started; callers connect to h1:1.')
    const cause = findCause(readHistory([createEnd(0, 'failed', { phase: 'admitting', failure: 'rate-exceeded' }), ...NOISE, started]))!
    expect(cause.kind).to.equal('rate')
    expect(cause.text).to.include('had started 700 ms before')
  })

  it('attributes a refusal to an election only when the reserve of the new leader decided it', () => {
    const elected = createLine(-867, 'h9', 'agreement: Host h9 was elected leader.', { event: 'leader-elected' })
    const justElected = createLine(-300, 'h9', 'agreement: Host h9 was elected leader.', { event: 'leader-elected' })
    const findText = (fields: object, event = elected): string => findCause(readHistory([createEnd(0, 'failed', { phase: 'admitting', failure: 'rate-exceeded', share: 0, shareLeftMs: 9_500, ...fields }), event, ...NOISE]))!.text
    expect(findText({ reserve: 'incomplete' })).to.include('elected 867 ms before')
    expect(findText({ reserve: 'unanswered' })).to.include('workspace parish').and.include('did not answer')
    expect(findText({ reserve: 'unanswered' }, justElected)).to.include('elected 300 ms before')
    expect(findText({ reserve: 'complete' })).to.include('parish exceeded its rate and burst')
    expect(findText({ reserve: 'unreachable' })).to.include('could not reach the leader')
  })

  it('says how many requests a cold database takes from its owner', () => {
    const fields = { phase: 'running', database: 'a1', failure: 'database-cold', reason: 'Database "a1" has come back.', coldRate: 15.5, waitMs: 400, limitMs: 100 }
    const cause = findCause(readHistory([createEnd(0, 'failed', fields), ...NOISE]))!
    expect(cause.kind).to.equal('queue')
    expect(cause.text).to.include('15.5 requests a second').and.include('400 ms').and.include('100 ms')
  })

  it('says how long the answer of an overloaded database was expected to take', () => {
    const fields = { phase: 'running', database: 'a1', failure: 'overloaded', reason: 'Database "a1" cannot answer in time.', answerMs: 310, limitMs: 125 }
    const cause = findCause(readHistory([createEnd(0, 'failed', fields), ...NOISE]))!
    expect(cause.kind).to.equal('queue')
    expect(cause.text).to.include('"a1"').and.include('310 ms').and.include('125 ms')
  })

  it('attributes a refusal to the evacuation of a failure domain', () => {
    const begun = createLine(-400, 'h9', 'evacuation: Failure domain east is evacuated: its databases get no more requests.', { event: 'evacuation-begun' })
    const cause = findCause(readHistory([createEnd(0, 'failed', { phase: 'routing', failure: 'evacuated' }), begun, ...NOISE]))!
    expect(cause.kind).to.equal('evacuation')
    expect(cause.evidence.map(line => line.text)).to.deep.equal(['evacuation: Failure domain east is evacuated: its databases get no more requests.'])
    expect(findCause(readHistory([createEnd(0, 'failed', { phase: 'running', failure: 'transaction-evacuated' }), ...NOISE]))!.text).to.include('rolled back')
  })

  it('attributes a refusal to the start of the host only while the host had no share yet', () => {
    const started = createLine(-700, 'h1', 'daemon: Host h1 started; callers connect to h1:1.')
    const findText = (fields: object): string => findCause(readHistory([createEnd(0, 'failed', { phase: 'admitting', failure: 'rate-exceeded', reserve: 'complete', ...fields }), started, ...NOISE]))!.text
    expect(findText({ share: 0, shareLeftMs: 0 })).to.include('had started 700 ms before')
    expect(findText({ share: 0.1, shareLeftMs: 9_500 })).to.include('parish exceeded its rate and burst')
  })

  it('attributes an unknown outcome to a change of the primary that other hosts logged before or after it', () => {
    const silent = createLine(900, 'h9', 'succession: Group a: the primary is silent; a2 is appointed (appointment 1), at 1.22.', { event: 'primary-appointed', group: 'a' })
    const other = createLine(100, 'h9', 'succession: Group b: the primary is silent.', { event: 'primary-appointed', group: 'b' })
    const history = readHistory([...NOISE, silent, other, createEnd(0, 'failed', { phase: 'running', failure: 'outcome-unknown', database: 'a1', owner: 'h2' })])
    const cause = findCause(history)!
    expect(cause.kind).to.equal('primary-changed')
    expect(cause.evidence.map(line => line.host)).to.deep.equal(['h9'])
    expect(formatHistory(history, cause).split('\n')[0]).to.match(/^Cause: The primary of group a was being replaced/)
  })

  it('attributes a late answer to the database that did not answer the first attempt', () => {
    const first = createEnd(-10, 'tried again', { phase: 'running', database: 'a2', owner: 'h2', attempt: 1 })
    const cause = findCause(readHistory([createEnd(0, 'answered', { phase: 'running', database: 'a3', owner: 'h3', attempt: 2, elapsedMs: 400 }), first, ...NOISE]))!
    expect(cause.kind).to.equal('database-silent')
    expect(cause.text).to.include('a2 through host h2')
  })

  it('lists lines in causal order, whatever the order of the files, with or without a prefix before the JSON', () => {
    const lines = [createEnd(0, 'failed', { reason: 'x' }), `12.5 h1 ${createEnd(-10, 'tried again', {})}`]
    expect(readHistory(lines).lines.map(line => line.stamp.wallMs - AT_MS)).to.deep.equal([-10, 0])
  })

  it('has no cause for a request without log lines', () => {
    expect(findCause(readHistory(NOISE))).to.equal(undefined)
  })
})
