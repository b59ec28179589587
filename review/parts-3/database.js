/** One stand-in database of a group: its log, its listener, and what it says of itself to the control hosts. */
import { request } from 'node:http'
import { createServer } from 'node:net'
import { Session } from './session.js'

const CALL_TIMEOUT_MS = 1_000
/** The system's own commands wait for no slot here. */
const SYSTEM_ID = '-'

/** A database that announces itself every `heartbeatMs`, as PROTOCOL.md describes it under "Service discovery". */
export class Database {
  group
  id
  zone
  /** The commits that it has received, oldest first. */
  log = []
  /** The term that it knows. */
  term = 1
  /** The term at which receiving is paused; 0 while it is not. */
  heldTerm = 0
  /** True while nothing reaches it from its primary. */
  deaf = false
  running = false
  departing = false
  port = 0
  /** Returns what a statement waits for before it runs. */
  beforeStatement = async () => undefined
  /** Returns the rows of an item that is not in the log; undefined for the others. */
  readRows = () => undefined
  #record
  #control
  #heartbeatMs
  #controlIndex = 0
  #sequence = 0
  #born = 0
  #sockets = new Set()
  #server
  #timer

  constructor ({ group, id, zone, control, record, heartbeatMs = 1_200, log = [], port = 0 }) {
    Object.assign(this, { group, id, zone, log, port })
    this.#control = control
    this.#record = record
    this.#heartbeatMs = heartbeatMs
  }

  /** Starts a database of a group; a port and a log where it takes the place of another one. */
  static async create (options) {
    const database = new Database(options)
    options.group.addDatabase(database)
    await database.start()
    return database
  }

  /** Starts, also again after a crash: with the log that it had, and its counts anew. */
  async start () {
    Object.assign(this, { running: true, departing: false, heldTerm: 0 })
    this.#born = Date.now()
    this.#sequence = 0
    this.#server = createServer({ noDelay: true }, socket => this.#accept(socket))
    await new Promise(resolve => this.#server.listen(this.port, '127.0.0.1', resolve))
    this.port = this.#server.address().port
    this.group.replicate(this)
    this.#timer = setInterval(() => { this.sendHeartbeat() }, this.#heartbeatMs)
    await this.sendHeartbeat()
  }

  /** Crashes: its connections end, and it says nothing more. */
  stop () {
    this.running = false
    clearInterval(this.#timer)
    this.#server?.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  /** Announces that it leaves, and goes on serving; resolves once that is acknowledged. */
  async drain () {
    this.departing = true
    while (!await this.sendHeartbeat()) await new Promise(resolve => setTimeout(resolve, 200))
    this.#record.add('drain-acknowledged', { database: this.id })
  }

  /** Ends as planned: deregisters and exits. */
  async withdraw () {
    clearInterval(this.#timer)
    const acknowledged = await this.#call('deregister', { born: this.#born })
    this.#record.add('deregistered', { database: this.id, acknowledged })
    this.stop()
    this.group.removeDatabase(this)
  }

  async sendHeartbeat () {
    this.#sequence += 1
    return await this.#call('heartbeat', {
      service: this.group.service,
      address: `127.0.0.1:${this.port}`,
      zone: this.zone,
      version: 'v1',
      slots: 3,
      state: this.departing ? 'draining' : 'ready',
      cold_left_ms: 0,
      db_role: this.isPrimary() ? 'primary' : 'replica',
      sequence: this.#sequence,
      born: this.#born
    })
  }

  isPrimary () {
    return this.running && this.group.primary === this
  }

  readPosition () {
    return `${this.term}.${this.log.length}`
  }

  covers (position) {
    const [term, number] = position.split('.').map(Number)
    return this.term > term || (this.term === term && this.log.length >= number)
  }

  findItem (item) {
    return this.log.flatMap(commit => commit.writes).findLast(write => write.item === item)
  }

  describeStatus () {
    return [`ROW ${this.isPrimary() ? 'primary' : 'replica'} ${this.term} ${this.readPosition()} ${this.heldTerm} 0 0 ${this.#sockets.size}`, 'DONE -']
  }

  hold (term) {
    if (!this.isPrimary() && term > this.term) this.heldTerm = term
    this.#record.add('paused', { database: this.id, term, held: this.heldTerm, position: this.readPosition() })
    return this.describeStatus()
  }

  resume () {
    this.heldTerm = 0
    this.group.replicate(this)
    return this.describeStatus()
  }

  async awaitTurn (id, text) {
    if (id !== SYSTEM_ID) await this.beforeStatement(id, text)
  }

  async appendCommit (id, writes) {
    return await this.group.appendCommit(this, id, writes)
  }

  #accept (socket) {
    this.#sockets.add(socket)
    socket.on('close', () => this.#sockets.delete(socket))
    Session.create(socket, this, this.#record)
  }

  // After a call without an acknowledgement the next control host is called.
  async #call (name, body) {
    const address = this.#control[this.#controlIndex % this.#control.length]
    const acknowledged = await new Promise(resolve => {
      const call = request(`http://${address}/-/instances/${this.id}/${name}`, { method: 'POST', headers: { 'content-type': 'application/json' }, signal: AbortSignal.timeout(CALL_TIMEOUT_MS), agent: false }, response => {
        response.resume()
        response.on('error', () => undefined)
        resolve(response.statusCode >= 200 && response.statusCode < 300)
      })
      call.on('error', () => resolve(false))
      call.end(JSON.stringify(body))
    })
    if (!acknowledged) this.#controlIndex += 1
    return acknowledged
  }
}
