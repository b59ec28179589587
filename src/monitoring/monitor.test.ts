import { expect } from 'chai'
import type { Effect } from '../core/message.js'
import type { HostMessage } from '../messages.js'
import { Log } from './log.js'
import { Monitor } from './monitor.js'
import { checkReadiness, CONFIRMATION_HOLDS_MS, STARTING, updateReadiness } from './readiness.js'

const createMonitor = (lines: string[] = []): Monitor => {
  const stream = { write: (line: string) => lines.push(line) } as unknown as NodeJS.WritableStream
  return Monitor.create('h1', Log.create({ host: 'h1', level: 'info', stream }))
}

describe('the monitor', () => {
  it('counts each request and each refusal once, and forgets callers that left', async () => {
    const monitor = createMonitor()
    const take = (message: unknown): void => monitor.observeMessage(message as HostMessage)
    const leave = (effect: unknown): void => monitor.observeEffect(effect as Effect, 'requests')
    for (const caller of ['c1', 'c2', 'c3']) {
      take({ kind: 'requests/open', caller })
      take({ kind: 'requests/arrived', caller, input: { intent: 'statement' } })
      take({ kind: 'routing/choose', caller, rules: { action: 'read' } })
      take({ kind: 'requests/routed', caller, target: { purpose: 'replica' } })
    }
    leave({ kind: 'caller/finished', caller: 'c1' })
    leave({ kind: 'caller/failed', caller: 'c2', failure: { code: 'no-primary' } })
    leave({ kind: 'caller/failed', caller: 'c2', failure: { code: 'rate-exceeded' } })
    take({ kind: 'requests/closed', caller: 'c3' })
    const page = await monitor.metrics.render()
    for (const line of [
      'requests_total{outcome="finished"} 1', 'requests_total{outcome="failed"} 1', 'refusals_total{code="no-primary"} 1',
      'refusals_total{code="rate-exceeded"} 1', 'routed_total{action="read",role="replica"} 3', 'requests_running 0', 'callers_connected 2',
      'messages_total{kind="requests/open"} 3', 'request_duration_seconds_count 2'
    ]) expect(page).to.include(`fulmartally_${line}\n`)
    expect(page).to.include('fulmartally_nodejs_eventloop_lag_p99_seconds')
  })

  it('counts a change of primary once, whatever is between, and not the first sight of a group', async () => {
    const monitor = createMonitor()
    const grants = [{ term: 1, primary: 'a1' }, { term: 1, primary: 'a1' }, { term: 1 }, { term: 2, primary: 'a2' }, { term: 2, primary: 'a2' }]
    for (const grant of grants) {
      monitor.observeMessage({ kind: 'routing/directory-changed', hosts: [], databases: [], grants: [{ kind: 'grant', group: 'a', members: [], ...grant }] } as HostMessage)
    }
    expect(await monitor.metrics.render()).to.include('fulmartally_failovers_total 1\n')
  })

  it('logs events and lines after the prefix of their slice, from the level on', () => {
    const lines: string[] = []
    const monitor = createMonitor(lines)
    monitor.observeEffect({ kind: 'timeline/record', event: 'promoted', text: 'Database a1 is primary.' } as Effect, 'primacy')
    const log = Log.create({ host: 'h1', level: 'warn', stream: { write: (line: string) => lines.push(line) } as unknown as NodeJS.WritableStream })
    log.execute({ kind: 'log/write', level: 'info', text: 'Not written.' }, 'membership')
    log.execute({ kind: 'log/write', level: 'warn', text: 'Host h2 is silent.' }, 'membership')
    expect(lines.map(line => JSON.parse(line).msg)).to.deep.equal(['primacy: Database a1 is primary.', 'membership: Host h2 is silent.'])
  })

  it('is ready only while confirmed and not draining', () => {
    const confirmed = updateReadiness(STARTING, 'h1', { kind: 'requests/grants-confirmed', grants: [], askedAtMs: 100 })
    expect(checkReadiness(STARTING, 100).reason).to.equal('starting')
    expect(checkReadiness(confirmed, 100 + CONFIRMATION_HOLDS_MS)).to.deep.equal({ ready: true, inTouch: true })
    expect(checkReadiness(confirmed, 101 + CONFIRMATION_HOLDS_MS).reason).to.equal('no authority')
    const other = updateReadiness(confirmed, 'h1', { kind: 'membership/drain-asked', operation: '1', host: 'h2' })
    expect(checkReadiness(other, 100).ready).to.equal(true)
    expect(checkReadiness(updateReadiness(other, 'h1', { kind: 'membership/drain-asked', operation: '1', host: 'h1' }), 100).reason).to.equal('draining')
  })
})
