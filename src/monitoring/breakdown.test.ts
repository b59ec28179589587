import { expect } from 'chai'
import { Registry } from 'prom-client'
import type { HostMessage } from '../messages.js'
import { Breakdown } from './breakdown.js'

const WORKSPACES = 1_000
/** The names that get labels of their own, and the one label of all others. */
const MAX_LABELS = 201

async function render (run: (breakdown: Breakdown, take: (message: unknown) => void) => void): Promise<string> {
  const registry = new Registry()
  const breakdown = Breakdown.create(registry)
  run(breakdown, message => breakdown.observeMessage(message as HostMessage))
  return await registry.metrics()
}

describe('requests by route, workspace and database', () => {
  it('count each request once, under what its caller asked for', async () => {
    const page = await render((breakdown, take) => {
      take({ kind: 'requests/open', caller: 'c1', route: 'views' })
      take({ kind: 'requests/open-checked', caller: 'c1', workspace: 'parish' })
      take({ kind: 'requests/arrived', caller: 'c1', input: { intent: 'statement' } })
      take({ kind: 'requests/routed', caller: 'c1', target: { database: 'a1' } })
      breakdown.endRequest('c1', 'finished', 0.02)
      take({ kind: 'requests/arrived', caller: 'c1', input: { intent: 'statement', route: 'orders' } })
      breakdown.endRequest('c1', 'rate-exceeded', 0.3)
    })
    for (const line of [
      'workspace_requests_total{workspace="parish",outcome="finished"} 1', 'workspace_requests_total{workspace="parish",outcome="rate-exceeded"} 1',
      'route_requests_total{route="views",outcome="finished"} 1', 'route_requests_total{route="orders",outcome="rate-exceeded"} 1',
      'database_requests_total{database="a1",outcome="finished"} 1', 'route_request_duration_seconds_count{route="orders"} 1'
    ]) expect(page).to.include(`fulmartally_${line}\n`)
    expect(page).not.to.include('database="a1",outcome="rate-exceeded"')
  })

  it('stay bounded, whatever names callers bring', async () => {
    const page = await render((breakdown, take) => {
      for (let count = 0; count < WORKSPACES; count++) {
        take({ kind: 'requests/open-checked', caller: 'c', workspace: `w${count}` })
        breakdown.endRequest('c', 'finished', 0.01)
      }
    })
    const lines = page.split('\n').filter(line => line.startsWith('fulmartally_workspace_requests_total{'))
    expect(lines.length).to.equal(MAX_LABELS)
    expect(lines).to.include(`fulmartally_workspace_requests_total{workspace="other",outcome="finished"} ${WORKSPACES - MAX_LABELS + 1}`)
  })
})
