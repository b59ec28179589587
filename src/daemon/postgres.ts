/** The edge of PostgreSQL: its protocol on both sides, and announcements over connect. */
import type { ConnectRouter } from '@connectrpc/connect'
import type { Adapter } from '../core/adapter.js'
import { POSTGRES_GUARANTEES } from '../databases/guarantees.js'
import { splitAddress } from '../core/address.js'
import { PostgresDriver } from '../databases/postgres/driver.js'
import { PostgresFrontEnd } from '../frontends/postgres/frontend.js'
import { ConnectAnnouncements } from '../membership/announcements.js'
import { Edge, type EdgeParts } from './edge.js'

interface Opened {
  readonly callers: string | undefined
  readonly frontEnd: PostgresFrontEnd
  readonly driver: PostgresDriver
  readonly announcements: ConnectAnnouncements
}

/** Speaks PostgreSQL with callers and databases. */
export class PostgresEdge extends Edge {
  readonly guarantees = POSTGRES_GUARANTEES
  #opened: Opened | undefined

  private constructor () {
    super()
  }

  /**
   * Creates the edge.
   * @example await Host.create(settings, onFault, PostgresEdge.create())
   */
  static create (): PostgresEdge {
    return new PostgresEdge()
  }

  createAdapters ({ settings, post }: EdgeParts): readonly Adapter[] {
    const frontEnd = PostgresFrontEnd.create({ host: settings.host, post, messageBytes: settings.limits.messageBytes })
    const driver = PostgresDriver.create(post)
    this.#opened = { callers: settings.callers, frontEnd, driver, announcements: ConnectAnnouncements.create(post) }
    return [frontEnd, driver]
  }

  override addRoutes (router: ConnectRouter): void {
    this.#opened?.announcements.addRoutes(router)
  }

  async listen (): Promise<string | undefined> {
    const { callers, frontEnd } = this.#opened ?? {}
    return callers === undefined ? undefined : await frontEnd?.listen(...splitAddress(callers))
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    await this.#opened?.frontEnd[Symbol.asyncDispose]()
    await this.#opened?.driver[Symbol.asyncDispose]()
  }
}
