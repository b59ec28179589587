/** A large fleet whose control hosts were all down works again once they are back, in simulated time. */
import { expect } from 'chai'
import type { Effect, Tell } from '../src/core/message.js'
import type { ServiceDocument } from '../src/documents/document.js'
import type { HostMessage } from '../src/messages.js'
import type { AnswerOperator } from '../src/operations/decide.js'
import type { CommandRequest } from '../src/operations/messages.js'
import { FleetSimulation, type SimulatedHostParts } from './support/fleetsimulation.js'

/** Seeds from this one on; by hand: `RUNS=20 SEED=1 npx mocha test/controlreturns.test.ts`. */
const SEED = Number(process.env.SEED ?? 1)
const RUNS = Number(process.env.RUNS ?? 3)
const DOMAINS = ['a', 'b', 'c', 'd', 'e']
const ENTRY_HOSTS = 195
const WORKSPACES = 140
/** What a message between hosts costs at each end, in milliseconds: half a millisecond of a whole core, on the cores that such hosts have. */
const CONTROL_COST_MS = 0.5 / 0.81
const ENTRY_COST_MS = 0.5 / 0.324
/** What a new link costs at each end: two milliseconds of a whole core. */
const CONTROL_LINK_MS = 2 / 0.81
const ENTRY_LINK_MS = 2 / 0.324
const DOWN_FROM_MS = 8_000
const DOWN_MS = 1_740
/** Users state that hosts count as in contact this long after the control hosts are disrupted. */
const CONTACT_MS = 6_000
/** How long an operator waits for an answer before it calls another host. */
const OPERATOR_TIMEOUT_MS = 1_000
const CALL_INTERVAL_MS = 500
const IN_CONTACT_FROM_MS = DOWN_FROM_MS + DOWN_MS + CONTACT_MS
const END_MS = IN_CONTACT_FROM_MS + 5_000
const AUTHORITY_LEASE_MS = 2_700
const SERVICE = 'deployment'

const DOCUMENT: ServiceDocument = {
  service: SERVICE,
  owners: ['ana'],
  authorityLeaseMs: AUTHORITY_LEASE_MS,
  groups: [{ name: 'g', databases: 1 }],
  workspaces: Array.from({ length: WORKSPACES }, (_, index) => ({ name: `workspace-${index}`, rate: 10, burst: 10, group: 'g', keys: [{ id: 'k', sha256: 'ab'.repeat(32) }] })),
  routes: [{ name: 'view', access: 'keyed', action: 'read', maxStalenessMs: 0, idempotent: true, group: 'g' }]
}

interface Call {
  readonly name: string
  readonly sentAtMs: number
  answeredAtMs?: number
}

/** A fleet with operators that read and replace its configuration. */
class Fleet {
  readonly calls = new Map<string, Call>()
  /** When the last confirmation of each entry host was asked for. */
  readonly confirmedAtMs = new Map<string, number>()
  /** Hosts without authority at some time after the control hosts were back for long. */
  readonly unconfirmed = new Set<string>()
  readonly #fleet: FleetSimulation
  readonly #control: readonly string[]
  readonly #entries: readonly string[]
  #version = 0

  private constructor (seed: number) {
    const hosts: readonly SimulatedHostParts[] = [
      ...DOMAINS.map((failureDomain, index) => ({ name: `control-${index}`, failureDomain, control: true, peerCostMs: CONTROL_COST_MS, linkCostMs: CONTROL_LINK_MS })),
      ...Array.from({ length: ENTRY_HOSTS }, (_, index) => ({ name: `entry-${index}`, failureDomain: DOMAINS[index % DOMAINS.length]!, control: false, peerCostMs: ENTRY_COST_MS, linkCostMs: ENTRY_LINK_MS }))
    ]
    this.#control = hosts.filter(host => host.control).map(host => host.name)
    this.#entries = hosts.filter(host => !host.control).map(host => host.name)
    this.#fleet = FleetSimulation.create(hosts, seed, 'kept', (host, effect) => this.#observe(host, effect))
  }

  static run (seed: number): Fleet {
    const fleet = new Fleet(seed)
    fleet.#plan()
    fleet.#fleet.run(END_MS)
    return fleet
  }

  #plan (): void {
    const fleet = this.#fleet
    fleet.schedule(1_500, () => this.#replace())
    fleet.schedule(DOWN_FROM_MS, () => this.#control.forEach(host => fleet.stop(host, DOWN_MS)))
    for (let atMs = DOWN_FROM_MS; atMs < END_MS - OPERATOR_TIMEOUT_MS; atMs += CALL_INTERVAL_MS) {
      fleet.schedule(atMs, () => this.#read())
      fleet.schedule(atMs, () => this.#replace())
    }
    for (let atMs = IN_CONTACT_FROM_MS; atMs < END_MS; atMs += CALL_INTERVAL_MS) fleet.schedule(atMs, () => this.#checkConfirmed())
  }

  #read (): void {
    this.#call('read', this.#pick(this.#entries), { name: 'configuration/read', service: SERVICE })
  }

  #replace (): void {
    const version = ++this.#version
    this.#call('replace', this.#pick(this.#control), { name: 'configuration/replace', version, text: '', document: DOCUMENT })
  }

  #call (name: string, host: string, command: CommandRequest['command']): void {
    const operation = `${name}-${this.calls.size}`
    this.calls.set(operation, { name, sentAtMs: this.#fleet.nowMs })
    this.#fleet.post(host, { kind: 'operations/asked', operation, requestId: operation, command })
  }

  #pick (hosts: readonly string[]): string {
    return hosts[Math.floor(this.#fleet.random() * hosts.length)]!
  }

  #checkConfirmed (): void {
    for (const host of this.#entries) {
      if (this.#fleet.nowMs - (this.confirmedAtMs.get(host) ?? -Infinity) > AUTHORITY_LEASE_MS) this.unconfirmed.add(host)
    }
  }

  #observe (host: string, effect: Effect): void {
    if (effect.kind === 'operator/answer') return this.#recordAnswer(effect as AnswerOperator)
    if (effect.kind !== 'loop/tell') return
    const { message } = effect as Tell<HostMessage>
    if (message.kind !== 'admission/documents-confirmed' && message.kind !== 'admission/versions-held') return
    this.confirmedAtMs.set(host, Math.max(message.askedAtMs, this.confirmedAtMs.get(host) ?? -Infinity))
  }

  #recordAnswer ({ operation, outcome }: AnswerOperator): void {
    const call = this.calls.get(operation)
    if (call !== undefined && (outcome as { readonly error?: string }).error === undefined) call.answeredAtMs ??= this.#fleet.nowMs
  }
}

/** Lists the times that calls took which were sent once hosts are in contact, longest first. */
function listTimes ({ calls }: Fleet, name: string): readonly number[] {
  const sent = [...calls.values()].filter(call => call.name === name && call.sentAtMs >= IN_CONTACT_FROM_MS)
  return sent.map(({ sentAtMs, answeredAtMs = Infinity }) => Math.round(answeredAtMs - sentAtMs)).sort((a, b) => b - a)
}

describe('a large fleet whose control hosts were all down', () => {
  it('reads and replaces its configuration in time, and confirms all hosts, once they are back', function () {
    this.timeout(RUNS * 120_000)
    const fleets = Array.from({ length: RUNS }, (_, index) => Fleet.run(SEED + index))
    const slowest = fleets.map(fleet => ({ read: listTimes(fleet, 'read')[0]!, replace: listTimes(fleet, 'replace')[0]!, unconfirmed: fleet.unconfirmed.size }))
    this.test!.title += ` (slowest ${slowest.map(({ read, replace }) => `${read} and ${replace}`).join(', ')} ms)`
    for (const { read, replace, unconfirmed } of slowest) {
      expect(read).to.be.at.most(OPERATOR_TIMEOUT_MS)
      expect(replace).to.be.at.most(OPERATOR_TIMEOUT_MS)
      expect(unconfirmed).to.equal(0)
    }
  })
})
