import { expect } from 'chai'
import { Registry } from 'prom-client'
import type { HostMessage } from '../messages.js'
import { RequestBreakdown } from './breakdown.js'

const WORKSPACES = 1_000
/** The label values of named workspaces, and the one for all others. */
const MAX_LABELS = 201

async function render (run: (breakdown: RequestBreakdown, observe: (message: unknown) => void) => void): Promise<string> {
  const registry = new Registry()
  const breakdown = RequestBreakdown.create(registry)
  run(breakdown, message => breakdown.observeMessage(message as HostMessage))
  return await registry.metrics()
}

describe('request metrics by route, workspace and database', () => {
  it('count each request once, by the names that its caller used', async () => {
    const page = await render((breakdown, observe) => {
      observe({ kind: 'requests/open', caller: 'c1', route: 'views' })
      observe({ kind: 'requests/open-checked', caller: 'c1', workspace: 'parish' })
      observe({ kind: 'requests/arrived', caller: 'c1', input: { intent: 'statement' } })
      observe({ kind: 'requests/routed', caller: 'c1', target: { database: 'a1' } })
      breakdown.endRequest('c1', 'finished', 0.02)
      observe({ kind: 'requests/arrived', caller: 'c1', input: { intent: 'statement', route: 'orders' } })
      breakdown.endRequest('c1', 'rate-exceeded', 0.3)
    })
    for (const line of [
      'workspace_requests_total{workspace="parish",outcome="finished"} 1', 'workspace_requests_total{workspace="parish",outcome="rate-exceeded"} 1',
      'route_requests_total{route="views",outcome="finished"} 1', 'route_requests_total{route="orders",outcome="rate-exceeded"} 1',
      'database_requests_total{database="a1",outcome="finished"} 1', 'route_request_duration_seconds_count{route="orders"} 1'
    ]) expect(page).to.include(`fulmartally_${line}\n`)
    expect(page).not.to.include('database="a1",outcome="rate-exceeded"')
  })

  it('have a bounded number of label values, whatever names callers use', async () => {
    const page = await render((breakdown, observe) => {
      for (let count = 0; count < WORKSPACES; count++) {
        observe({ kind: 'requests/open-checked', caller: 'c', workspace: `w${count}` })
        breakdown.endRequest('c', 'finished', 0.01)
      }
    })
    const lines = page.split('\n').filter(line => line.startsWith('fulmartally_workspace_requests_total{'))
    expect(lines.length).to.equal(MAX_LABELS)
    expect(lines).to.include(`fulmartally_workspace_requests_total{workspace="other",outcome="finished"} ${WORKSPACES - MAX_LABELS + 1}`)
  })
})
