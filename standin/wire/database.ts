/** A stand-in database of the platform, which sends heartbeats to control hosts and serves the line protocol. */
import { request } from 'node:http'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import type { GroupMember, WireGroup } from './group.js'
import { WireSession, type StatementRun } from './session.js'

const HEARTBEAT_INTERVAL_MS = 300
const HEARTBEAT_TIMEOUT_MS = 1_000

/** The options of a database. */
export interface WireDatabaseOptions {
  readonly id: string
  readonly zone: string
  readonly group: WireGroup
  /** The control addresses; after a failed heartbeat, the next one is used. */
  readonly control: readonly string[]
  /** How long a read, write or commit takes, in milliseconds; at once when absent. */
  readonly workMs?: number
  /** Called for each statement that ran. */
  readonly onRun: (run: StatementRun) => void
}

/** One stand-in database of a group. */
export class WireDatabase {
  readonly member: GroupMember
  readonly #options: WireDatabaseOptions
  readonly #server: Server
  readonly #sockets = new Set<Socket>()
  readonly #startedAtMs = Date.now()
  #heartbeatTimer: NodeJS.Timeout | undefined
  #sequence = 0
  #controlIndex = 0

  private constructor (options: WireDatabaseOptions) {
    this.#options = options
    this.member = options.group.addMember(options.id)
    this.#server = createServer({ noDelay: true }, socket => this.#accept(socket))
  }

  /**
   * Starts a database on a free loopback port.
   * @example await WireDatabase.create({ id: 'i-1', zone: 'a', group, control, onRun })
   */
  static async create (options: WireDatabaseOptions): Promise<WireDatabase> {
    const database = new WireDatabase(options)
    await new Promise<void>(resolve => database.#server.listen(0, '127.0.0.1', resolve))
    database.#heartbeatTimer = setInterval(() => database.#sendHeartbeat(), HEARTBEAT_INTERVAL_MS)
    database.#sendHeartbeat()
    return database
  }

  /** Simulates a crash: destroys all connections and stops the heartbeats. */
  stop (): void {
    this.member.running = false
    clearInterval(this.#heartbeatTimer)
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  #accept (socket: Socket): void {
    this.#sockets.add(socket)
    socket.on('close', () => this.#sockets.delete(socket))
    const { group, workMs, onRun } = this.#options
    WireSession.create({ socket, group, member: this.member, workMs, onRun })
  }

  #sendHeartbeat (): void {
    const { id, zone, group, control } = this.#options
    const { port } = this.#server.address() as AddressInfo
    this.#sequence += 1
    const body = JSON.stringify({
      service: group.service,
      address: `127.0.0.1:${port}`,
      zone,
      version: 'v1',
      slots: 3,
      state: 'ready',
      cold_left_ms: 0,
      db_role: group.primary === id ? 'primary' : 'replica',
      sequence: this.#sequence,
      born: this.#startedAtMs
    })
    const address = control[this.#controlIndex % control.length]!
    const heartbeat = request(`http://${address}/-/instances/${id}/heartbeat`, { method: 'POST', signal: AbortSignal.timeout(HEARTBEAT_TIMEOUT_MS), agent: false }, response => {
      response.resume()
      if (response.statusCode !== 200) this.#controlIndex += 1
    })
    heartbeat.on('error', () => { this.#controlIndex += 1 })
    heartbeat.end(body)
  }
}
