/** The database driver for PostgreSQL. */
import type { HostPost } from '../../messages.js'
import { ORIGIN } from '../../core/position.js'
import { DatabaseDriver, type AwaitStored, type CommandDatabase, type DatabaseEffect, type ProbeDatabase } from '../driver.js'
import { DatabaseConnection } from './connection.js'
import type { DatabaseStatus } from '../../membership/directory.js'
import { ControlConnection, type ReportedStatus } from './control.js'
import { findMajorityPosition } from './majority.js'

const POOL_USER = 'fulmartally'
/** Interval between polls of the position that a majority stores. */
const STORED_POLL_INTERVAL_MS = 3
/** Delay after a failed poll before the slice may start the next one. */
const STORED_RETRY_DELAY_MS = 100
/** How long to poll for a write before the position stored so far is posted. */
const STORED_POLL_TIMEOUT_MS = 1_000

/** Runs statements and commands at PostgreSQL databases. */
export class PostgresDriver extends DatabaseDriver {
  readonly #post: HostPost
  readonly #connections = new Map<string, DatabaseConnection>()
  readonly #statusConnections = new Map<string, ControlConnection>()
  /** Separate from the status connections, so that fencing never waits for a probe. */
  readonly #commandConnections = new Map<string, ControlConnection>()
  readonly #probing = new Set<string>()
  readonly #awaitedWrites = new Map<string, AwaitStored>()

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
      // PostgreSQL databases are fenced by `database/command`.
      case 'database/read-position':
      case 'database/fence':
    }
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    for (const connection of this.#connections.values()) connection.close()
    await Promise.all([...this.#statusConnections.values(), ...this.#commandConnections.values()].map(control => control[Symbol.asyncDispose]()))
  }

  #open (connection: string, address: string): void {
    this.#connections.set(connection, DatabaseConnection.create({ connection, address, user: POOL_USER, post: this.#post }))
  }

  #close (connection: string): void {
    this.#connections.get(connection)?.close()
    this.#connections.delete(connection)
  }

  #findControlConnection (address: string, connections = this.#statusConnections): ControlConnection {
    const known = connections.get(address)
    if (known !== undefined) return known
    const control = ControlConnection.create(address)
    connections.set(address, control)
    return control
  }

  #probe (effect: ProbeDatabase): void {
    if (this.#probing.has(effect.database)) return
    this.#probing.add(effect.database)
    const { database, askedAtMs } = effect
    this.#findControlConnection(effect.address).readStatus()
      .then(
        status => this.#post({ kind: 'membership/probed', askedAtMs, status: createStatus(database, status) }),
        () => this.#post({ kind: 'membership/probed', askedAtMs, status: { database, answering: false, primary: false, position: ORIGIN, fencedTerm: 0 } }))
      .finally(() => this.#probing.delete(database))
  }

  #command (effect: CommandDatabase): void {
    const { action, database, address, term, source, asker } = effect
    const outcome = { kind: 'primacy/commanded', asker, action, database, term } as const
    this.#findControlConnection(address, this.#commandConnections).command(action, term, source)
      .then(
        status => this.#post({ ...outcome, status: createStatus(database, status) }),
        () => this.#post(outcome))
  }

  // One poll per database serves all of its pending writes.
  #awaitStored (effect: AwaitStored): void {
    const polling = this.#awaitedWrites.has(effect.database)
    this.#awaitedWrites.set(effect.database, effect)
    if (!polling) this.#pollStored(effect.database, performance.now() + STORED_POLL_TIMEOUT_MS)
  }

  // A poll that timed out or failed is posted, too: the slice starts the next one while writes are pending.
  #pollStored (database: string, endsAtMs: number): void {
    const awaited = this.#awaitedWrites.get(database)
    if (awaited === undefined) return
    this.#findControlConnection(awaited.address).readStatus()
      .then(status => {
        const stored = findMajorityPosition(awaited.members, status.storedPositions)
        const pending = status.primary && stored.offset < awaited.offset && performance.now() < endsAtMs
        if (pending) return setTimeout(() => this.#pollStored(database, endsAtMs), STORED_POLL_INTERVAL_MS)
        this.#awaitedWrites.delete(database)
        return this.#post({ kind: 'transactions/stored', database, position: stored })
      })
      .catch(() => setTimeout(() => {
        this.#awaitedWrites.delete(database)
        this.#post({ kind: 'transactions/stored', database, position: ORIGIN })
      }, STORED_RETRY_DELAY_MS))
  }
}

function createStatus (database: string, status: ReportedStatus): DatabaseStatus {
  const { primary, position, fencedTerm, source, discarded } = status
  return { database, answering: true, primary, position, fencedTerm, source, discarded }
}
