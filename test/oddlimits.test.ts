/** Limits at the edges of what a configuration may hold end no host, and are kept. */
import { expect } from 'chai'
import type { Effect, SetTimer, Tell } from '../src/core/message.js'
import type { ServiceDocument } from '../src/documents/document.js'
import type { HostMessage } from '../src/messages.js'
import { FleetSimulation, type SimulatedHostParts } from './support/fleetsimulation.js'

const SERVICE = 'deployment'
const RATES = [0, 1e-9, 0.5, 1, 1e9]
const BURSTS = [0, 0.5, 1, 7, 1e9]
const LIMITS = RATES.flatMap(rate => BURSTS.map(burst => ({ rate, burst })))
const FIRST_REQUEST_MS = 3_000
const END_MS = 9_000
const REQUEST_INTERVAL_MS = 7
const MAX_TIMER_MS = 3_600_000
/** How much a workspace may exceed its rate and burst: rounding in the sums of shares. */
const TOLERANCE = 1.000_001
const KEY_HASH = 'ab'.repeat(32)

/** A document whose workspaces have all limits; with each version, they move on to the next workspace. */
function createDocument (version: number): ServiceDocument {
  return {
    service: SERVICE,
    owners: ['ana'],
    authorityLeaseMs: 5_000,
    groups: [{ name: 'g', databases: 1 }],
    workspaces: LIMITS.map((_, index) => ({ name: `w${index}`, ...LIMITS[(index + version) % LIMITS.length]!, group: 'g', keys: [{ id: 'k', sha256: `${KEY_HASH}${index}` }] })),
    routes: [{ name: 'r', access: 'keyed', action: 'read', maxStalenessMs: 0, idempotent: false, group: 'g', latencyMs: 200 }]
  }
}

function createHosts (entries: number): readonly SimulatedHostParts[] {
  const domains = ['a', 'b', 'c']
  return [
    ...domains.map((failureDomain, index) => ({ name: `control-${index}`, failureDomain, control: true })),
    ...Array.from({ length: entries }, (_, index) => ({ name: `entry-${index}`, failureDomain: domains[index % 3]!, control: false }))
  ]
}

/** Runs requests of all workspaces; returns how many of each were admitted. */
function run (entries: number, versions: number): ReadonlyMap<string, number> {
  const admitted = new Map<string, number>()
  const observe = (_host: string, effect: Effect): void => {
    if (effect.kind === 'timer/set') expect((effect as SetTimer).afterMs, (effect as SetTimer).name).to.be.within(0, MAX_TIMER_MS)
    const message = effect.kind === 'loop/tell' ? (effect as Tell<HostMessage>).message : undefined
    if (message?.kind !== 'requests/admitted') return
    const workspace = message.caller.split('/')[0]!
    admitted.set(workspace, (admitted.get(workspace) ?? 0) + 1)
  }
  const fleet = FleetSimulation.create(createHosts(entries), 1, 'kept', observe)
  for (let version = 1; version <= versions; version++) {
    fleet.schedule(1_500 + (version - 1) * 2_000, () => fleet.post('control-0', { kind: 'operations/asked', operation: `put-${version}`, requestId: `put-${version}`, command: { name: 'configuration/replace', version, text: '', document: createDocument(version - 1) } }))
  }
  let count = 0
  for (let atMs = FIRST_REQUEST_MS; atMs < END_MS; atMs += REQUEST_INTERVAL_MS) {
    fleet.schedule(atMs, () => {
      const workspace = count % LIMITS.length
      fleet.post(`entry-${Math.floor(fleet.random() * entries)}`, { kind: 'admission/check-request', caller: `w${workspace}/${count++}`, attempt: 1, service: SERVICE, workspace: `w${workspace}`, keyHash: `${KEY_HASH}${workspace}`, route: 'r', action: 'read', inTransaction: false })
    })
  }
  fleet.run(END_MS)
  return admitted
}

describe('limits at the edges', () => {
  for (const [size, entries] of [['small', 6], ['large', 18]] as const) {
    it(`are kept in a ${size} fleet`, function () {
      this.timeout(120_000)
      const admitted = run(entries, 1)
      for (const [index, { rate, burst }] of LIMITS.entries()) {
        expect(admitted.get(`w${index}`) ?? 0, `rate ${rate}, burst ${burst}`).to.be.at.most((burst + rate * END_MS / 1_000) * TOLERANCE)
        if (rate >= 1 && burst >= 7) expect(admitted.get(`w${index}`) ?? 0, `rate ${rate}, burst ${burst}`).to.be.above(0)
      }
    })

    it(`change from one to another in a ${size} fleet`, function () {
      this.timeout(120_000)
      expect(run(entries, 4).size).to.be.above(0)
    })
  }
})
