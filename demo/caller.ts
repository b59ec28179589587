/** The demo's callers: sessions that reconnect to random hosts. */
import pg from 'pg'
import type { Deployment, KeyedWorkspace } from './deployment.js'
import type { StartedHost } from './processes.js'
import type { LoadStatistics } from './statistics.js'
import { sleep } from './sleep.js'

const REQUESTS_PER_CONNECTION = 12
const CONNECT_TIMEOUT_MS = 6_000
const RATE_EXCEEDED = '53400'
const OUTCOME_UNKNOWN = '40003'
const RECONNECT_DELAY_MS = 20
const READ_THRESHOLD = 0.5
const WRITE_THRESHOLD = 0.85
const FIRST_REQUEST_CHOICE = READ_THRESHOLD

/** The options of a caller. */
export interface CallerOptions {
  readonly name: string
  readonly deployment: Deployment
  readonly workspace: KeyedWorkspace
  readonly hosts: readonly StartedHost[]
  readonly statistics: LoadStatistics
  /** Requests per second. */
  readonly rate: number
  /** Returns a seeded pseudorandom number in [0, 1). */
  readonly random: () => number
  /** True once the caller has to stop. */
  readonly stopped: () => boolean
}

/** One session, which writes, reads its own writes and runs transactions, and reconnects to a random host after a number of requests. */
export class Caller {
  readonly #options: CallerOptions
  #session = ''
  #sequence = 0
  /** The number of acknowledged writes of this session, which each of its reads must see. */
  #acknowledgedWrites = 0
  #nextRequestAtMs = performance.now()

  private constructor (options: CallerOptions) {
    this.#options = options
  }

  /**
   * Creates a caller that is not connected yet.
   * @example await Caller.create(options).run()
   */
  static create (options: CallerOptions): Caller {
    return new Caller(options)
  }

  /** Sends requests until `stopped` returns true. */
  async run (): Promise<void> {
    while (!this.#options.stopped()) {
      const client = await this.#connect()
      if (client === undefined) {
        await sleep(RECONNECT_DELAY_MS)
        continue
      }
      for (let request = 0; request < REQUESTS_PER_CONNECTION && !this.#options.stopped(); request++) {
        await this.#waitForSchedule()
        if (!await this.#send(client)) break
      }
      await client.end().catch(() => undefined)
    }
  }

  async #connect (): Promise<pg.Client | undefined> {
    const { hosts, random, deployment, workspace } = this.#options
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
      this.#options.statistics.addFailure((error as pg.DatabaseError).code ?? 'no connection')
      await client.end().catch(() => undefined)
      return undefined
    }
  }

  // Open-loop load: the schedule advances at a fixed rate even if earlier requests are slow, with at most 1 s of backlog.
  async #waitForSchedule (): Promise<void> {
    const now = performance.now()
    this.#nextRequestAtMs = Math.max(this.#nextRequestAtMs + 1_000 / this.#options.rate, now - 1_000)
    if (this.#nextRequestAtMs > now) await sleep(this.#nextRequestAtMs - now)
  }

  async #send (client: pg.Client): Promise<boolean> {
    const { workspace, statistics, random } = this.#options
    // The first request is a write, so that every read of the session finds rows.
    const choice = this.#sequence === 0 ? FIRST_REQUEST_CHOICE : random()
    try {
      if (choice < READ_THRESHOLD) await this.#read(client)
      else if (choice < WRITE_THRESHOLD) await this.#write(client)
      else await this.#runTransaction(client)
      statistics.addRequest(workspace.name, true)
      return true
    } catch (error) {
      const { code = 'no connection' } = error as pg.DatabaseError
      statistics.addFailure(code)
      statistics.addRequest(workspace.name, false)
      if (code === RATE_EXCEEDED) statistics.refusedWithinRate += 1
      if (choice >= READ_THRESHOLD && (code === OUTCOME_UNKNOWN || code === 'no connection')) statistics.unknownWrites += 1
      return code === RATE_EXCEEDED && choice < WRITE_THRESHOLD
    }
  }

  async #read (client: pg.Client): Promise<void> {
    const { name, deployment, statistics } = this.#options
    const result = await client.query(`/*route='${deployment.readRoute}'*/ SELECT id, fulmartally_role() AS role FROM orders WHERE session = $1`, [name])
    statistics.statements += 1
    statistics.reads += 1
    if (result.rows.length < this.#acknowledgedWrites) statistics.staleReads += 1
    if (result.rows[0]?.role === 'replica') statistics.readsFromReplicas += 1
  }

  async #write (client: pg.Client): Promise<void> {
    const { deployment, statistics } = this.#options
    const id = this.#createRowId()
    await client.query(`/*route='${deployment.writeRoute}'*/ INSERT INTO orders (id, session) VALUES ($1, $2)`, [id, this.#options.name])
    statistics.statements += 1
    this.#recordWrites([id])
  }

  async #runTransaction (client: pg.Client): Promise<void> {
    const ids = [this.#createRowId(), this.#createRowId()]
    await client.query('BEGIN')
    for (const id of ids) await client.query('INSERT INTO orders (id, session) VALUES ($1, $2)', [id, this.#options.name])
    const end = await client.query('COMMIT')
    this.#options.statistics.statements += ids.length + 2
    if (end.command === 'COMMIT') this.#recordWrites(ids)
  }

  #createRowId (): string {
    this.#sequence += 1
    return `${this.#options.name}-${this.#sequence}`
  }

  #recordWrites (ids: readonly string[]): void {
    const { workspace, statistics } = this.#options
    const atMs = performance.now()
    this.#acknowledgedWrites += ids.length
    for (const id of ids) statistics.addAcknowledgedWrite({ group: workspace.group, workspace: workspace.name, id, atMs })
  }
}
