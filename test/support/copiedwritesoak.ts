/**
 * A soak over hosts, databases and callers on loopback, for a group whose writes are acknowledged by a replica's copy: databases
 * crash, receive nothing, leave and are lost, and hosts are restarted, in series and overlapping. Checks that each database holds
 * what was acknowledged to callers as it is promoted, and that callers are served again after the faults.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import type { GroupMember } from '../../standin/wire/group.js'
import type { WireDatabase } from '../../standin/wire/database.js'
import { createRandom } from './stepqueue.js'
import { Requester, WireDeployment } from './wire.js'
import { createDesiredState, KEY } from './wireservice.js'

const FAULTS_MS = 15_000
const MAX_FAULT_MS = 5_000
const MAX_PAUSE_MS = 900
const PROMOTION_MS = 300
/** The time that a database serves after its departure is acknowledged, and until the next one starts at its address. */
const DRAIN_MS = 2_500
const REPLACED_AFTER_MS = 1_000
/** The time that the platform allows for recovery. */
const RECOVERY_MS = 12_000
/** The time in which replicas catch up with a primary, and its owner says so. */
const COVERED_MS = 3_000
const WRITERS_PER_ENTRY = 2
const WRITE_PAUSE_MS = 20
const RETRY_MS = 100
/** Time after which a caller gives its connection up: longer than the timeout of the route. */
const PATIENCE_MS = 4_000
const POLL_MS = 50
const CONTROL_HOSTS = 3
const SERVICES = { services: [{ name: 'rota', max_conns: 20, sync_replicas: 1 }] }

/** One seeded run. */
export class CopiedWriteSoak {
  readonly violations: string[] = []
  /** What was done, in order. */
  readonly faults: string[] = []
  promotions = 0
  readonly #random: () => number
  readonly #acknowledged = new Set<string>()
  readonly #lastServedAtMs = new Map<number, number>()
  readonly #running = new Set<Promise<void>>()
  readonly #busyHosts = new Set<number>()
  readonly #leaving = new Set<WireDatabase>()
  readonly #startedAtMs = Date.now()
  #deployment!: WireDeployment
  #lost: WireDatabase | undefined
  /** When the last database that had stopped was running again. */
  #stoppedAtMs = -Infinity
  #names = 0
  #isWriting = true

  private constructor (seed: number) {
    this.#random = createRandom(seed)
  }

  /**
   * Plays a seed.
   * @example (await CopiedWriteSoak.run(1)).violations // []
   */
  static async run (seed: number): Promise<CopiedWriteSoak> {
    const soak = new CopiedWriteSoak(seed)
    await using deployment = await WireDeployment.create({ group: { syncReplicas: 1, promotionMs: PROMOTION_MS, onPromoted: member => soak.#checkPromoted(member) } })
    soak.#deployment = deployment
    await soak.#execute()
    return soak
  }

  /** The number of writes that callers were told are done. */
  get acknowledged (): number {
    return this.#acknowledged.size
  }

  async #execute (): Promise<void> {
    while (await this.#deployment.putConfiguration(createDesiredState(1, SERVICES)).catch(() => 0) !== 200) await sleep(POLL_MS)
    const writers = this.#deployment.callers.flatMap((_, entry) => Array.from({ length: WRITERS_PER_ENTRY }, async (_, index) => await this.#write(entry, `w${entry}${index}`)))
    await this.#awaitServed(this.#readMs())
    const untilMs = this.#readMs() + FAULTS_MS
    while (this.#readMs() < untilMs) {
      this.#drawFault()
      await sleep(this.#random() * MAX_PAUSE_MS)
    }
    await Promise.all(this.#running)
    for (const { member } of this.#deployment.databases) member.replicating = true
    const calmAtMs = this.#readMs()
    if (!await this.#awaitServed(calmAtMs)) this.violations.push(`RECOVER: ${RECOVERY_MS} ms after the faults, callers are not served at entry hosts ${this.#listUnserved(calmAtMs).join(', ')}; ${this.#describe()}`)
    this.#isWriting = false
    await Promise.all(writers)
  }

  #readMs (): number {
    return Date.now() - this.#startedAtMs
  }

  async #awaitServed (sinceMs: number): Promise<boolean> {
    while (this.#listUnserved(sinceMs).length > 0 && this.#readMs() < sinceMs + RECOVERY_MS) await sleep(POLL_MS)
    return this.#listUnserved(sinceMs).length === 0
  }

  #listUnserved (sinceMs: number): readonly number[] {
    return [...this.#deployment.callers.keys()].filter(entry => (this.#lastServedAtMs.get(entry) ?? -1) < sinceMs)
  }

  #describe (): string {
    const { members, primary } = this.#deployment.group
    const states = [...members.values()].map(({ id, running, term, log }) => `${id} ${running ? 'at' : 'down at'} ${term}.${log.length}`)
    return `${states.join(', ')}, primary ${primary}`
  }

  // A caller goes on with its connection until that ends.
  async #write (entry: number, name: string): Promise<void> {
    for (let count = 0; this.#isWriting;) {
      const [requester, started] = await Requester.create(this.#deployment.callers[entry]!, 'orders', KEY, PATIENCE_MS)
      let ended = started.error !== undefined
      while (this.#isWriting && !ended) {
        const write = `${name}x${count++}`
        const { error, status } = await requester.query(write, `WRITE item-${name} ${write}`)
        if (error === undefined) this.#recordServed(entry, write)
        ended = error === 'closed' || status !== 'idle'
        await sleep(WRITE_PAUSE_MS)
      }
      requester.close()
      await sleep(RETRY_MS)
    }
  }

  #recordServed (entry: number, write: string): void {
    this.#acknowledged.add(write)
    this.#lastServedAtMs.set(entry, this.#readMs())
  }

  #checkPromoted ({ id, log }: GroupMember): void {
    this.promotions += 1
    const held = new Set(log.map(({ data }) => data))
    const lost = [...this.#acknowledged].filter(write => !held.has(write))
    this.#record(`${id} is promoted`)
    if (lost.length > 0) this.violations.push(`LOST: ${id} lacks ${lost.length} acknowledged writes as it is promoted at ${this.#readMs()} ms, among them ${lost[0]}`)
  }

  #drawFault (): void {
    const { databases, group } = this.#deployment
    const database = databases[Math.floor(this.#random() * databases.length)]!
    const primary = databases.find(({ member }) => member.id === group.primary) ?? database
    const durationMs = this.#random() * MAX_FAULT_MS
    switch (Math.floor(this.#random() * 8)) {
      case 0: return this.#begin(this.#holdReplica(database, durationMs))
      case 1: return this.#begin(this.#stopDatabase(database, durationMs))
      case 2: return this.#begin(this.#stopDatabase(primary, durationMs))
      case 3: return this.#begin(this.#replace(database))
      case 4: return this.#begin(this.#replace(primary))
      case 5: return this.#lose(database)
      case 6: return this.#restartHost(Math.floor(this.#random() * CONTROL_HOSTS))
      case 7: return this.#restartHost(CONTROL_HOSTS + Math.floor(this.#random() * this.#deployment.callers.length))
    }
  }

  #begin (fault: Promise<void>): void {
    this.#running.add(fault)
  }

  #record (event: string): void {
    this.faults.push(`${this.#readMs()}: ${event}`)
  }

  async #holdReplica ({ member }: WireDatabase, durationMs: number): Promise<void> {
    this.#record(`${member.id} receives nothing for a while`)
    member.replicating = false
    await sleep(durationMs)
    member.replicating = true
  }

  async #stopDatabase (database: WireDatabase, durationMs: number): Promise<void> {
    if (this.#isBusy(database) || !this.#isRedundant()) return
    this.#record(`${database.member.id} crashes`)
    this.#stoppedAtMs = Infinity
    database.stop()
    await sleep(durationMs)
    await database.restart()
    this.#stoppedAtMs = this.#readMs()
  }

  // As planned: it departs, serves for a while, and ends; another one starts at its address with its log.
  async #replace (database: WireDatabase): Promise<void> {
    if (this.#isBusy(database)) return
    this.#record(`${database.member.id} leaves`)
    this.#leaving.add(database)
    await database.drain()
    await sleep(DRAIN_MS)
    await database.end()
    await sleep(REPLACED_AFTER_MS)
    await this.#deployment.replaceDatabase(database, `i-r${this.#names++}`)
  }

  #lose (database: WireDatabase): void {
    if (this.#isBusy(database) || !this.#isRedundant()) return
    this.#lost = database
    this.#record(`${database.member.id} is lost for good`)
    database.stop()
  }

  // With one copy a commit outlives the loss of one database, and one that starts again counts as lost. The next one may be lost
  // once replicas have caught up with a primary that serves.
  #isRedundant (): boolean {
    return this.#lost === undefined && Math.max(...this.#lastServedAtMs.values()) >= this.#stoppedAtMs + COVERED_MS
  }

  #isBusy (database: WireDatabase): boolean {
    return !database.member.running || database === this.#lost || this.#leaving.has(database)
  }

  // The control hosts bear the loss of one.
  #restartHost (index: number): void {
    const isControl = index < CONTROL_HOSTS
    if (this.#busyHosts.has(index) || (isControl && [...this.#busyHosts].some(busy => busy < CONTROL_HOSTS))) return
    const planned = this.#random() < 0.5
    this.#busyHosts.add(index)
    this.#record(`host ${index} ${planned ? 'is restarted as planned' : 'ends and starts again'}`)
    const restarted = this.#deployment.restartHost(index, planned).then(() => { this.#busyHosts.delete(index) })
    this.#begin(restarted)
  }
}
