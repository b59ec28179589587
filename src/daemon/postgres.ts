/** The PostgreSQL edge: its wire protocol for callers and databases, and announcements over Connect. */
import type { ConnectRouter } from '@connectrpc/connect'
import type { Adapter } from '../core/adapter.js'
import { POSTGRES_GUARANTEES } from '../databases/guarantees.js'
import { splitAddress } from '../core/address.js'
import { PostgresDriver } from '../databases/postgres/driver.js'
import { PostgresFrontEnd } from '../frontends/postgres/frontend.js'
import { ConnectAnnouncements } from '../membership/announcements.js'
import { Edge, type EdgeParts } from './edge.js'

interface OpenAdapters {
  readonly callers: string | undefined
  readonly frontEnd: PostgresFrontEnd
  readonly driver: PostgresDriver
  readonly announcements: ConnectAnnouncements
}

/** Connects callers and databases by the PostgreSQL protocol. */
export class PostgresEdge extends Edge {
  readonly guarantees = POSTGRES_GUARANTEES
  #adapters: OpenAdapters | undefined

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

  createAdapters ({ settings, post, log, account }: EdgeParts): readonly Adapter[] {
    const frontEnd = PostgresFrontEnd.create({ host: settings.host, post, messageBytes: settings.limits.messageBytes, onServerError: log.reportServerError, account })
    const driver = PostgresDriver.create(post)
    this.#adapters = { callers: settings.callers, frontEnd, driver, announcements: ConnectAnnouncements.create(post) }
    return [frontEnd, driver]
  }

  override addRoutes (router: ConnectRouter): void {
    this.#adapters?.announcements.addRoutes(router)
  }

  async listen (): Promise<string | undefined> {
    const { callers, frontEnd } = this.#adapters ?? {}
    return callers === undefined ? undefined : await frontEnd?.listen(...splitAddress(callers))
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    await this.#adapters?.frontEnd[Symbol.asyncDispose]()
    await this.#adapters?.driver[Symbol.asyncDispose]()
  }
}
