import { expect } from 'chai'
import type { Effect } from '../core/message.js'
import type { HostMessage } from '../messages.js'
import { Log } from './log.js'
import { Monitor } from './monitor.js'
import { checkReadiness, CONFIRMATION_VALID_MS, INITIAL_FACTS, updateReadiness } from './readiness.js'

const createMonitor = (lines: string[] = []): Monitor => {
  const stream = { write: (line: string) => lines.push(line) } as unknown as NodeJS.WritableStream
  return Monitor.create('h1', Log.create({ host: 'h1', level: 'info', stream }))
}

describe('the monitor', () => {
  it('counts each request and each refusal once, and removes callers that disconnected', async () => {
    const monitor = createMonitor()
    const receive = (message: unknown): void => monitor.observeMessage(message as HostMessage)
    const emit = (effect: unknown): void => monitor.observeEffect(effect as Effect, 'requests')
    for (const caller of ['c1', 'c2', 'c3']) {
      receive({ kind: 'requests/open', caller })
      receive({ kind: 'requests/arrived', caller, input: { intent: 'statement' } })
      receive({ kind: 'routing/choose', caller, rules: { action: 'read' } })
      receive({ kind: 'requests/routed', caller, target: { purpose: 'replica' } })
    }
    emit({ kind: 'caller/finished', caller: 'c1' })
    emit({ kind: 'caller/failed', caller: 'c2', failure: { code: 'no-primary' } })
    emit({ kind: 'caller/failed', caller: 'c2', failure: { code: 'rate-exceeded' } })
    receive({ kind: 'requests/closed', caller: 'c3' })
    const page = await monitor.metrics.render()
    for (const line of [
      'requests_total{outcome="finished"} 1', 'requests_total{outcome="failed"} 1', 'refusals_total{code="no-primary"} 1',
      'refusals_total{code="rate-exceeded"} 1', 'routed_total{action="read",role="replica"} 3', 'requests_running 0', 'callers_connected 2',
      'messages_total{kind="requests/open"} 3', 'request_duration_seconds_count 2'
    ]) expect(page).to.include(`fulmartally_${line}\n`)
    expect(page).to.include('fulmartally_nodejs_eventloop_lag_p99_seconds')
  })

  it('counts each change of a primary once, and not the first primary of a group', async () => {
    const monitor = createMonitor()
    const grants = [{ term: 1, primary: 'a1' }, { term: 1, primary: 'a1' }, { term: 1 }, { term: 2, primary: 'a2' }, { term: 2, primary: 'a2' }]
    for (const grant of grants) {
      monitor.observeMessage({ kind: 'routing/directory-changed', hosts: [], databases: [], owners: new Map(), grants: [{ kind: 'grant', group: 'a', members: [], ...grant }] } as HostMessage)
    }
    expect(await monitor.metrics.render()).to.include('fulmartally_failovers_total 1\n')
  })

  it('shows the version of each document in force and the age of the last confirmation', async () => {
    const monitor = createMonitor()
    expect(await monitor.metrics.render()).to.include('fulmartally_confirmation_age_seconds Nan\n')
    const confirm = (version: number): void => monitor.observeMessage({ kind: 'admission/documents-confirmed', askedAtMs: 5, documents: [{ kind: 'document', service: 'rota', version }] } as unknown as HostMessage)
    confirm(6)
    confirm(4)
    monitor.observeMessage({ kind: 'requests/grants-confirmed', grants: [], askedAtMs: performance.now() - 2_000 } as HostMessage)
    const page = await monitor.metrics.render()
    expect(page).to.include('fulmartally_document_version{service="rota"} 6\n')
    expect(Number(/confirmation_age_seconds ([\d.]+)/.exec(page)?.[1])).to.be.within(2, 60)
  })

  it('logs events and lines with the prefix of their slice, from the configured level on', () => {
    const lines: string[] = []
    const monitor = createMonitor(lines)
    monitor.observeEffect({ kind: 'timeline/record', event: 'promoted', text: 'Database a1 is primary.' } as Effect, 'primacy')
    const log = Log.create({ host: 'h1', level: 'warn', stream: { write: (line: string) => lines.push(line) } as unknown as NodeJS.WritableStream })
    log.execute({ kind: 'log/write', level: 'info', text: 'Not written.' }, 'membership')
    log.execute({ kind: 'log/write', level: 'warn', text: 'Host h2 is silent.' }, 'membership')
    expect(lines.map(line => JSON.parse(line).msg)).to.deep.equal(['primacy: Database a1 is primary.', 'membership: Host h2 is silent.'])
  })

  it('is ready without a confirmation while it is isolated, where it keeps serving, and not while the control hosts answer', () => {
    const lateMs = 100 + 5_001
    const confirmed = updateReadiness({ ...INITIAL_FACTS, keepsAuthority: true }, 'h1', { kind: 'requests/grants-confirmed', grants: [], askedAtMs: 100 })
    expect(checkReadiness(confirmed, lateMs - 1)).to.deep.equal({ ready: true, inTouch: false })
    expect(checkReadiness(confirmed, lateMs).reason).to.equal('no authority')
    expect(checkReadiness(updateReadiness(confirmed, 'h1', { kind: 'admission/versions-held', versions: [], askedAtMs: 4_000 }), lateMs).ready).to.equal(true)
    const isolated = updateReadiness(confirmed, 'h1', { kind: 'admission/contact-changed', isolated: true })
    expect(checkReadiness(isolated, lateMs).ready).to.equal(true)
    expect(checkReadiness(updateReadiness(isolated, 'h1', { kind: 'admission/contact-changed', isolated: false }), lateMs).ready).to.equal(false)
  })

  it('is ready only while the leader confirms it and it is not draining', () => {
    const confirmed = updateReadiness(INITIAL_FACTS, 'h1', { kind: 'requests/grants-confirmed', grants: [], askedAtMs: 100 })
    expect(checkReadiness(INITIAL_FACTS, 100).reason).to.equal('starting')
    expect(checkReadiness(confirmed, 100 + CONFIRMATION_VALID_MS)).to.deep.equal({ ready: true, inTouch: true })
    expect(checkReadiness(confirmed, 101 + CONFIRMATION_VALID_MS).reason).to.equal('no authority')
    const other = updateReadiness(confirmed, 'h1', { kind: 'membership/drain-asked', operation: '1', host: 'h2' })
    expect(checkReadiness(other, 100).ready).to.equal(true)
    expect(checkReadiness(updateReadiness(other, 'h1', { kind: 'membership/drain-asked', operation: '1', host: 'h1' }), 100).reason).to.equal('draining')
  })
})
