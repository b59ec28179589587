/** A stand-in database of the platform, which sends heartbeats to control hosts and serves the line protocol. */
import { request } from 'node:http'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import type { GroupMember, WireGroup } from './group.js'
import { WireSession, type StatementRun } from './session.js'

const HEARTBEAT_INTERVAL_MS = 300
const CALL_TIMEOUT_MS = 1_000
const HTTP_OK = 200

/** The options of a database. */
export interface WireDatabaseOptions {
  readonly id: string
  readonly zone: string
  readonly group: WireGroup
  /** The control addresses; after a failed heartbeat, the next one is used. */
  readonly control: readonly string[]
  /** The database that ended at whose address it starts, with its log. */
  readonly former?: WireDatabase
  /** How long a read, write or commit takes, in milliseconds; at once when absent. */
  readonly workMs?: number
  /** Returns what a statement of a caller waits for before it runs; undefined when it does not wait. */
  readonly holdStatement?: (text: string) => Promise<void> | undefined
  /** Called for each statement that ran. */
  readonly onRun: (run: StatementRun) => void
}

/** One stand-in database of a group. */
export class WireDatabase {
  readonly member: GroupMember
  readonly #options: WireDatabaseOptions
  readonly #sockets = new Set<Socket>()
  #server: Server
  #port = 0
  #startedAtMs = Date.now()
  #departing = false
  #heartbeatTimer: NodeJS.Timeout | undefined
  #sequence = 0
  #controlIndex = 0

  private constructor (options: WireDatabaseOptions) {
    this.#options = options
    this.member = options.group.addMember(options.id, options.former?.member.log)
    if (options.former !== undefined) this.#port = options.former.#port
    this.#server = this.#createServer()
  }

  /**
   * Starts a database on a free loopback port.
   * @example await WireDatabase.create({ id: 'i-1', zone: 'a', group, control, onRun })
   */
  static async create (options: WireDatabaseOptions): Promise<WireDatabase> {
    const database = new WireDatabase(options)
    await database.#listen()
    return database
  }

  /** Starts again at its address under its id after a crash: it counts its heartbeats anew, and keeps its log. */
  async restart (): Promise<void> {
    this.member.running = true
    this.member.heldTerm = 0
    this.#startedAtMs = Date.now()
    this.#sequence = 0
    this.#departing = false
    this.#server = this.#createServer()
    await this.#listen()
  }

  /** Announces that it departs, and goes on serving; resolves once that is acknowledged. */
  async drain (): Promise<void> {
    this.#departing = true
    while (!await this.#sendHeartbeat()) await new Promise(resolve => setTimeout(resolve, HEARTBEAT_INTERVAL_MS))
  }

  /** Deregisters, and goes on serving; resolves once that is acknowledged. */
  async withdraw (): Promise<void> {
    clearInterval(this.#heartbeatTimer)
    while (!await this.#call('deregister', { born: this.#startedAtMs })) await new Promise(resolve => setTimeout(resolve, HEARTBEAT_INTERVAL_MS))
  }

  /** Ends as planned: deregisters and exits. */
  async end (): Promise<void> {
    await this.withdraw()
    this.stop()
    this.#options.group.removeMember(this.member.id)
  }

  /** Simulates a crash: destroys all connections and stops the heartbeats. */
  stop (): void {
    this.member.running = false
    this.#options.group.checkPrimary()
    clearInterval(this.#heartbeatTimer)
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  #createServer (): Server {
    return createServer({ noDelay: true }, socket => this.#accept(socket))
  }

  async #listen (): Promise<void> {
    await new Promise<void>(resolve => this.#server.listen(this.#port, '127.0.0.1', resolve))
    this.#port = (this.#server.address() as AddressInfo).port
    const announce = (): void => { this.#sendHeartbeat().catch(() => undefined) }
    this.#heartbeatTimer = setInterval(announce, HEARTBEAT_INTERVAL_MS)
    announce()
  }

  #accept (socket: Socket): void {
    this.#sockets.add(socket)
    socket.on('close', () => this.#sockets.delete(socket))
    const { group, workMs, holdStatement, onRun } = this.#options
    WireSession.create({ socket, group, member: this.member, workMs, holdStatement, onRun })
  }

  // Resolves with whether the heartbeat was acknowledged.
  async #sendHeartbeat (): Promise<boolean> {
    const { id, zone, group } = this.#options
    this.#sequence += 1
    return await this.#call('heartbeat', {
      service: group.service,
      address: `127.0.0.1:${this.#port}`,
      zone,
      version: 'v1',
      slots: 3,
      state: this.#departing ? 'draining' : 'ready',
      cold_left_ms: 0,
      db_role: group.primary === id ? 'primary' : 'replica',
      sequence: this.#sequence,
      born: this.#startedAtMs
    })
  }

  async #call (name: string, body: object): Promise<boolean> {
    const { id, control } = this.#options
    const address = control[this.#controlIndex % control.length]!
    const acknowledged = await new Promise<boolean>(resolve => {
      const call = request(`http://${address}/-/instances/${id}/${name}`, { method: 'POST', signal: AbortSignal.timeout(CALL_TIMEOUT_MS), agent: false }, response => {
        response.resume()
        resolve(response.statusCode === HTTP_OK)
      })
      call.on('error', () => resolve(false))
      call.end(JSON.stringify(body))
    })
    if (!acknowledged) this.#controlIndex += 1
    return acknowledged
  }
}
