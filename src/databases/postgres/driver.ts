/** The driver for PostgreSQL databases. */
import type { HostPost } from '../../messages.js'
import { ORIGIN } from '../../core/position.js'
import { DatabaseDriver, type AwaitStored, type CommandDatabase, type DatabaseEffect, type Probe } from '../driver.js'
import { DatabaseConnection } from './connection.js'
import type { DatabaseStatus } from '../../membership/directory.js'
import { ControlConnection, type ReportedStatus } from './control.js'
import { findMajority } from './majority.js'

const POOL_USER = 'fulmartally'
const STORED_POLL_MS = 3
const STORED_RETRY_MS = 100
const STORED_POLLED_MS = 1_000

/** Carries statements and commands to PostgreSQL databases. */
export class PostgresDriver extends DatabaseDriver {
  readonly #post: HostPost
  readonly #connections = new Map<string, DatabaseConnection>()
  readonly #controls = new Map<string, ControlConnection>()
  /** Apart from those for status, so that no fence waits for a probe. */
  readonly #commands = new Map<string, ControlConnection>()
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

  execute (effect: DatabaseEffect): void {
    switch (effect.kind) {
      case 'database/open': return this.#open(effect.connection, effect.address)
      case 'database/execute': return this.#connections.get(effect.connection)?.execute(effect)
      case 'database/credit': return this.#connections.get(effect.connection)?.grantCredit(effect.bytes)
      case 'database/close': return this.#close(effect.connection)
      case 'database/probe': return this.#probe(effect)
      case 'database/await-stored': return this.#awaitStored(effect)
      case 'database/command': return this.#command(effect)
      // These databases are fenced by the commands above.
      case 'database/fence':
    }
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    for (const connection of this.#connections.values()) connection.close()
    await Promise.all([...this.#controls.values(), ...this.#commands.values()].map(control => control[Symbol.asyncDispose]()))
  }

  #open (connection: string, address: string): void {
    this.#connections.set(connection, DatabaseConnection.create({ connection, address, user: POOL_USER, post: this.#post }))
  }

  #close (connection: string): void {
    this.#connections.get(connection)?.close()
    this.#connections.delete(connection)
  }

  #findControl (address: string, among = this.#controls): ControlConnection {
    const known = among.get(address)
    if (known !== undefined) return known
    const control = ControlConnection.create(address)
    among.set(address, control)
    return control
  }

  #probe (effect: Probe): void {
    if (this.#probing.has(effect.database)) return
    this.#probing.add(effect.database)
    const { database, askedAtMs } = effect
    this.#findControl(effect.address).readStatus()
      .then(
        status => this.#post({ kind: 'membership/probed', askedAtMs, status: createStatus(database, status) }),
        () => this.#post({ kind: 'membership/probed', askedAtMs, status: { database, answering: false, primary: false, position: ORIGIN, fencedTerm: 0 } }))
      .finally(() => this.#probing.delete(database))
  }

  #command (effect: CommandDatabase): void {
    const { action, database, address, term, source, asker } = effect
    const outcome = { kind: 'primacy/commanded', asker, action, database, term } as const
    this.#findControl(address, this.#commands).command(action, term, source)
      .then(
        status => this.#post({ ...outcome, status: createStatus(database, status) }),
        () => this.#post(outcome))
  }

  // One poll at a time for a database serves all writes that wait on it.
  #awaitStored (effect: AwaitStored): void {
    const polling = this.#awaiting.has(effect.database)
    this.#awaiting.set(effect.database, effect)
    if (!polling) this.#pollStored(effect.database, performance.now() + STORED_POLLED_MS)
  }

  // The end of a poll is posted without success, too: the slice asks again while a write waits.
  #pollStored (database: string, endsAtMs: number): void {
    const wanted = this.#awaiting.get(database)
    if (wanted === undefined) return
    this.#findControl(wanted.address).readStatus()
      .then(status => {
        const stored = findMajority(wanted.members, status.stored)
        const waits = status.primary && stored.offset < wanted.offset && performance.now() < endsAtMs
        if (waits) return setTimeout(() => this.#pollStored(database, endsAtMs), STORED_POLL_MS)
        this.#awaiting.delete(database)
        return this.#post({ kind: 'transactions/stored', database, position: stored })
      })
      .catch(() => setTimeout(() => {
        this.#awaiting.delete(database)
        this.#post({ kind: 'transactions/stored', database, position: ORIGIN })
      }, STORED_RETRY_MS))
  }
}

function createStatus (database: string, status: ReportedStatus): DatabaseStatus {
  const { primary, position, fencedTerm, source, discarded } = status
  return { database, answering: true, primary, position, fencedTerm, source, discarded }
}
