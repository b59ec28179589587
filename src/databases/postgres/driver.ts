/** The driver for PostgreSQL databases. */
import type { HostPost } from '../../messages.js'
import { ORIGIN } from '../../core/position.js'
import { DatabaseDriver, type AwaitStored, type DatabaseEffect, type Probe } from '../driver.js'
import { DatabaseConnection } from './connection.js'
import { ControlConnection } from './control.js'
import { findMajority } from './majority.js'

const POOL_USER = 'fulmartally'
const STORED_POLL_MS = 3

/** Carries statements and commands to PostgreSQL databases. */
export class PostgresDriver extends DatabaseDriver {
  readonly #post: HostPost
  readonly #connections = new Map<string, DatabaseConnection>()
  readonly #controls = new Map<string, ControlConnection>()
  readonly #probing = new Set<string>()
  readonly #awaiting = new Map<string, AwaitStored>()

  private constructor (post: HostPost) {
    super()
    this.#post = post
  }

  /**
   * Creates a driver without connections.
   * @example PostgresDriver.create(loop.post)
   */
  static create (post: HostPost): PostgresDriver {
    return new PostgresDriver(post)
  }

  carryOut (effect: DatabaseEffect): void {
    switch (effect.kind) {
      case 'database/open': return this.#open(effect.connection, effect.address)
      case 'database/execute': return this.#connections.get(effect.connection)?.execute(effect)
      case 'database/credit': return this.#connections.get(effect.connection)?.grantCredit(effect.bytes)
      case 'database/close': return this.#close(effect.connection)
      case 'database/probe': return this.#probe(effect)
      case 'database/await-stored': return this.#awaitStored(effect)
    }
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    for (const connection of this.#connections.values()) connection.close()
    await Promise.all([...this.#controls.values()].map(control => control[Symbol.asyncDispose]()))
  }

  #open (connection: string, address: string): void {
    this.#connections.set(connection, DatabaseConnection.create({ connection, address, user: POOL_USER, post: this.#post }))
  }

  #close (connection: string): void {
    this.#connections.get(connection)?.close()
    this.#connections.delete(connection)
  }

  #findControl (address: string): ControlConnection {
    const known = this.#controls.get(address)
    if (known !== undefined) return known
    const control = ControlConnection.create(address)
    this.#controls.set(address, control)
    return control
  }

  #probe (effect: Probe): void {
    if (this.#probing.has(effect.database)) return
    this.#probing.add(effect.database)
    const { database, askedAtMs } = effect
    this.#findControl(effect.address).readStatus()
      .then(
        status => this.#post({ kind: 'membership/probed', askedAtMs, status: { database, answering: true, primary: status.primary, position: status.position, fencedTerm: status.fencedTerm } }),
        () => this.#post({ kind: 'membership/probed', askedAtMs, status: { database, answering: false, primary: false, position: ORIGIN, fencedTerm: 0 } }))
      .finally(() => this.#probing.delete(database))
  }

  // One poll at a time for a database serves all writes that wait on it.
  #awaitStored (effect: AwaitStored): void {
    const polling = this.#awaiting.has(effect.database)
    this.#awaiting.set(effect.database, effect)
    if (!polling) this.#pollStored(effect.database)
  }

  #pollStored (database: string): void {
    const wanted = this.#awaiting.get(database)
    if (wanted === undefined) return
    this.#findControl(wanted.address).readStatus()
      .then(status => {
        const stored = findMajority(wanted.members, status.stored)
        if (stored.offset < wanted.offset) return setTimeout(() => this.#pollStored(database), STORED_POLL_MS)
        this.#awaiting.delete(database)
        return this.#post({ kind: 'transactions/stored', database, position: stored })
      })
      .catch(() => this.#awaiting.delete(database))
  }
}
