/** Callers of the demo: sessions that roam between hosts. */
import pg from 'pg'
import type { Deployment, KeyedWorkspace } from './deployment.js'
import type { StartedHost } from './processes.js'
import type { Tally } from './tally.js'
import { sleep } from './sleep.js'

const REQUESTS_PER_STAY = 12
const CONNECT_TIMEOUT_MS = 6_000
const RATE_EXCEEDED = '53400'
const OUTCOME_UNKNOWN = '40003'
const PAUSE_AFTER_FAILURE_MS = 20
const READS_BELOW = 0.5
const WRITES_BELOW = 0.85
const FIRST_CHOICE = READS_BELOW

/** What a caller needs. */
export interface CallerParts {
  readonly name: string
  readonly deployment: Deployment
  readonly workspace: KeyedWorkspace
  readonly hosts: readonly StartedHost[]
  readonly tally: Tally
  /** Requests a second that this caller sends. */
  readonly rate: number
  /** Returns a number in [0, 1); seeded. */
  readonly random: () => number
  readonly stopped: () => boolean
}

/** One session: it writes, reads its writes, runs transactions, and moves to another host. */
export class Caller {
  readonly #parts: CallerParts
  #session = ''
  #sequence = 0
  /** Writes of this session that are surely there. */
  #acknowledged = 0
  #nextAtMs = performance.now()

  private constructor (parts: CallerParts) {
    this.#parts = parts
  }

  /**
   * Creates a caller that has not connected yet.
   * @example await Caller.create(parts).run()
   */
  static create (parts: CallerParts): Caller {
    return new Caller(parts)
  }

  /** Sends requests until it is told to stop. */
  async run (): Promise<void> {
    while (!this.#parts.stopped()) {
      const client = await this.#connect()
      if (client === undefined) {
        await sleep(PAUSE_AFTER_FAILURE_MS)
        continue
      }
      for (let request = 0; request < REQUESTS_PER_STAY && !this.#parts.stopped(); request++) {
        await this.#waitForTurn()
        if (!await this.#send(client)) break
      }
      await client.end().catch(() => undefined)
    }
  }

  async #connect (): Promise<pg.Client | undefined> {
    const { hosts, random, deployment, workspace } = this.#parts
    const [host, port] = hosts[Math.floor(random() * hosts.length)]!.addresses.callers.split(':')
    const client = new pg.Client({
      host,
      port: Number(port),
      database: deployment.service,
      user: workspace.name,
      password: workspace.key,
      connectionTimeoutMillis: CONNECT_TIMEOUT_MS,
      options: this.#session === '' ? undefined : `-c fulmartally.session=${this.#session}`
    })
    client.on('error', () => undefined)
    client.connection.on('parameterStatus', (message: { parameterName: string, parameterValue: string }) => {
      if (message.parameterName === 'fulmartally.session') this.#session = message.parameterValue
    })
    try {
      await client.connect()
      return client
    } catch (error) {
      this.#parts.tally.addFailure((error as pg.DatabaseError).code ?? 'no connection')
      await client.end().catch(() => undefined)
      return undefined
    }
  }

  // Requests come at fixed times, also while an earlier one is late.
  async #waitForTurn (): Promise<void> {
    const now = performance.now()
    this.#nextAtMs = Math.max(this.#nextAtMs + 1_000 / this.#parts.rate, now - 1_000)
    if (this.#nextAtMs > now) await sleep(this.#nextAtMs - now)
  }

  async #send (client: pg.Client): Promise<boolean> {
    const { workspace, tally, random } = this.#parts
    // A session begins with a write, so that each of its reads finds rows.
    const choice = this.#sequence === 0 ? FIRST_CHOICE : random()
    try {
      if (choice < READS_BELOW) await this.#read(client)
      else if (choice < WRITES_BELOW) await this.#write(client)
      else await this.#runTransaction(client)
      tally.addRequest(workspace.name, true)
      return true
    } catch (error) {
      const { code = 'no connection' } = error as pg.DatabaseError
      tally.addFailure(code)
      tally.addRequest(workspace.name, false)
      if (code === RATE_EXCEEDED) tally.refusedWithinRate += 1
      if (choice >= READS_BELOW && (code === OUTCOME_UNKNOWN || code === 'no connection')) tally.unknownWrites += 1
      return code === RATE_EXCEEDED && choice < WRITES_BELOW
    }
  }

  async #read (client: pg.Client): Promise<void> {
    const { name, deployment, tally } = this.#parts
    const result = await client.query(`/*route='${deployment.readRoute}'*/ SELECT id, fulmartally_role() AS role FROM orders WHERE session = $1`, [name])
    tally.statements += 1
    tally.reads += 1
    if (result.rows.length < this.#acknowledged) tally.staleReads += 1
    if (result.rows[0]?.role === 'replica') tally.readsFromReplicas += 1
  }

  async #write (client: pg.Client): Promise<void> {
    const { deployment, tally } = this.#parts
    const id = this.#drawId()
    await client.query(`/*route='${deployment.writeRoute}'*/ INSERT INTO orders (id, session) VALUES ($1, $2)`, [id, this.#parts.name])
    tally.statements += 1
    this.#acknowledge([id])
  }

  async #runTransaction (client: pg.Client): Promise<void> {
    const ids = [this.#drawId(), this.#drawId()]
    await client.query('BEGIN')
    for (const id of ids) await client.query('INSERT INTO orders (id, session) VALUES ($1, $2)', [id, this.#parts.name])
    const end = await client.query('COMMIT')
    this.#parts.tally.statements += ids.length + 2
    if (end.command === 'COMMIT') this.#acknowledge(ids)
  }

  #drawId (): string {
    this.#sequence += 1
    return `${this.#parts.name}-${this.#sequence}`
  }

  #acknowledge (ids: readonly string[]): void {
    const { workspace, tally } = this.#parts
    const atMs = performance.now()
    this.#acknowledged += ids.length
    for (const id of ids) tally.addWrite({ group: workspace.group, workspace: workspace.name, id, atMs })
  }
}
