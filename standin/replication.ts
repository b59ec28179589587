/** Asynchronous replication: a replica pulls from its primary, some time behind it. */
import { ControlConnection } from '../src/databases/postgres/control.js'
import type { Pulled, StandInDatabase } from './database.js'

const PULL_EVERY_MS = 5

/** Pulls entries for one database while it has a source. */
export class Replication implements AsyncDisposable {
  readonly #database: StandInDatabase
  readonly #lagMs: number
  #link: { readonly source: string, readonly control: ControlConnection } | undefined
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
    clearTimeout(this.#timer)
    await this.#link?.control[Symbol.asyncDispose]()
  }

  #schedule (): void {
    this.#timer = setTimeout(() => {
      this.#pull().catch(() => undefined).finally(() => this.#schedule())
    }, PULL_EVERY_MS + this.#lagMs)
  }

  async #pull (): Promise<void> {
    const { source, log, parts } = this.#database
    if (source === undefined) return
    if (this.#link?.source !== source) {
      await this.#link?.control[Symbol.asyncDispose]()
      this.#link = { source, control: ControlConnection.create(source) }
    }
    const boundaries = JSON.stringify(log.readBoundaries())
    const [row] = await this.#link.control.query<{ value: string }>(`SELECT * FROM fulmartally_pull('${parts.name}', '${boundaries}')`)
    if (row === undefined || this.#database.source !== source) return
    this.#database.takePulled(JSON.parse(row.value) as Pulled)
  }
}
