/** Asynchronous replication: a replica pulls from its primary, some time behind it. */
import { ControlConnection } from '../src/databases/postgres/control.js'
import type { Pulled, StandInDatabase } from './database.js'

const PULL_EVERY_MS = 5

interface Link {
  readonly source: string
  readonly control: ControlConnection
  pulling: boolean
}

/** Pulls entries for one database while it has a source. */
export class Replication implements AsyncDisposable {
  readonly #database: StandInDatabase
  readonly #lagMs: number
  #link: Link | undefined
  #timer: NodeJS.Timeout | undefined

  private constructor (database: StandInDatabase, lagMs: number) {
    this.#database = database
    this.#lagMs = lagMs
  }

  /**
   * Starts to pull.
   * @example Replication.create(database, 20)
   */
  static create (database: StandInDatabase, lagMs: number): Replication {
    const replication = new Replication(database, lagMs)
    replication.#schedule()
    return replication
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    clearInterval(this.#timer)
    await this.#link?.control[Symbol.asyncDispose]()
  }

  // A pull of a former source may hang: a new source is pulled without waiting for it.
  #schedule (): void {
    this.#timer = setInterval(() => {
      const { source } = this.#database
      if (source !== this.#link?.source) this.#change(source)
      const link = this.#link
      if (link === undefined || link.pulling) return
      link.pulling = true
      this.#pull(link).catch(() => undefined).finally(() => { link.pulling = false })
    }, PULL_EVERY_MS + this.#lagMs)
  }

  #change (source: string | undefined): void {
    this.#link?.control[Symbol.asyncDispose]().catch(() => undefined)
    this.#link = source === undefined ? undefined : { source, control: ControlConnection.create(source), pulling: false }
  }

  async #pull (link: Link): Promise<void> {
    const { log, parts } = this.#database
    await this.#database.awaitSynced()
    const boundaries = JSON.stringify(log.readBoundaries())
    const [row] = await link.control.query<{ value: string }>(`SELECT * FROM fulmartally_pull('${parts.name}', '${boundaries}')`)
    if (row === undefined || this.#link !== link || this.#database.source !== link.source) return
    this.#database.takePulled(JSON.parse(row.value) as Pulled)
  }
}
