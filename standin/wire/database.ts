/** A stand-in database of the platform: it announces itself and serves the wire protocol. */
import { request } from 'node:http'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import type { Member, WireGroup } from './group.js'
import { WireSession, type StatementRun } from './session.js'

const BEAT_EVERY_MS = 300
const BEAT_WITHIN_MS = 1_000

/** What a database is made of. */
export interface WireDatabaseParts {
  readonly id: string
  readonly zone: string
  readonly group: WireGroup
  /** The addresses of the control calls, tried in turn. */
  readonly control: readonly string[]
  readonly onRun: (run: StatementRun) => void
}

/** One database. */
export class WireDatabase {
  readonly member: Member
  readonly #parts: WireDatabaseParts
  readonly #server: Server
  readonly #sockets = new Set<Socket>()
  readonly #born = Date.now()
  #beats: NodeJS.Timeout | undefined
  #sequence = 0
  #turn = 0

  private constructor (parts: WireDatabaseParts) {
    this.#parts = parts
    this.member = parts.group.addMember(parts.id)
    this.#server = createServer({ noDelay: true }, socket => this.#accept(socket))
  }

  /**
   * Starts a database on a free port of the loopback.
   * @example await WireDatabase.create({ id: 'i-1', zone: 'a', group, control, onRun })
   */
  static async create (parts: WireDatabaseParts): Promise<WireDatabase> {
    const database = new WireDatabase(parts)
    await new Promise<void>(resolve => database.#server.listen(0, '127.0.0.1', resolve))
    database.#beats = setInterval(() => database.#sendBeat(), BEAT_EVERY_MS)
    database.#sendBeat()
    return database
  }

  /** Ends the database as a crash does: its connections break, and it says nothing more. */
  stop (): void {
    this.member.running = false
    clearInterval(this.#beats)
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  #accept (socket: Socket): void {
    this.#sockets.add(socket)
    socket.on('close', () => this.#sockets.delete(socket))
    const { group, onRun } = this.#parts
    WireSession.create({ socket, group, member: this.member, onRun })
  }

  #sendBeat (): void {
    const { id, zone, group, control } = this.#parts
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
      born: this.#born
    })
    const address = control[this.#turn % control.length]!
    const call = request(`http://${address}/-/instances/${id}/heartbeat`, { method: 'POST', signal: AbortSignal.timeout(BEAT_WITHIN_MS), agent: false }, response => {
      response.resume()
      if (response.statusCode !== 200) this.#turn += 1
    })
    call.on('error', () => { this.#turn += 1 })
    call.end(body)
  }
}
