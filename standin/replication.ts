/** Asynchronous replication: a replica pulls from its primary with a configurable lag. */
import { ControlConnection } from '../src/databases/postgres/control.js'
import type { PullResult, StandInDatabase } from './database.js'

const PULL_INTERVAL_MS = 5

interface SourceConnection {
  readonly source: string
  readonly control: ControlConnection
  pullInProgress: boolean
}

/** Pulls entries for one database while a source is set. */
export class Replication implements AsyncDisposable {
  readonly #database: StandInDatabase
  readonly #lagMs: number
  #connection: SourceConnection | undefined
  #timer: NodeJS.Timeout | undefined

  private constructor (database: StandInDatabase, lagMs: number) {
    this.#database = database
    this.#lagMs = lagMs
  }

  /**
   * Starts replication.
   * @example Replication.create(database, 20)
   */
  static create (database: StandInDatabase, lagMs: number): Replication {
    const replication = new Replication(database, lagMs)
    replication.#startTimer()
    return replication
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    clearInterval(this.#timer)
    await this.#connection?.control[Symbol.asyncDispose]()
  }

  // A pull from a former source may hang, so a new source is pulled without waiting for it.
  #startTimer (): void {
    this.#timer = setInterval(() => {
      const { source } = this.#database
      if (source !== this.#connection?.source) this.#changeSource(source)
      const connection = this.#connection
      if (connection === undefined || connection.pullInProgress) return
      connection.pullInProgress = true
      this.#pull(connection).catch(() => undefined).finally(() => { connection.pullInProgress = false })
    }, PULL_INTERVAL_MS + this.#lagMs)
  }

  #changeSource (source: string | undefined): void {
    this.#connection?.control[Symbol.asyncDispose]().catch(() => undefined)
    this.#connection = source === undefined ? undefined : { source, control: ControlConnection.create(source), pullInProgress: false }
  }

  async #pull (connection: SourceConnection): Promise<void> {
    const { log, parts } = this.#database
    await this.#database.awaitSync()
    const endOffsets = JSON.stringify(log.readTermEndOffsets())
    const [row] = await connection.control.query<{ value: string }>(`SELECT * FROM fulmartally_pull('${parts.name}', '${endOffsets}')`)
    if (row === undefined || this.#connection !== connection || this.#database.source !== connection.source) return
    this.#database.applyPullResult(JSON.parse(row.value) as PullResult)
  }
}
