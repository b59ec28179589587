/** A stand-in database of the platform: it sends heartbeats to control hosts and serves the line protocol. */
import { request } from 'node:http'
import { createServer } from 'node:net'
import { DatabaseSession } from './session.js'

const CALL_TIMEOUT_MS = 1_000
const HTTP_OK = 200

/** One database of a group, on an address of its own. */
export class Database {
  #server
  #timer
  #sockets = new Set()
  #sequence = 0
  #controlIndex = 0
  #dark = false

  constructor ({ id, ip, port, zone, group, control, slots = 3, lagMs, workMs = 3, beatMs = 1_200, listRows, onRun = () => undefined, findPeer = () => undefined, onPeer = () => undefined }) {
    Object.assign(this, { id, ip, port, zone, group, control, slots, workMs, beatMs, listRows, onRun, findPeer, onPeer })
    this.member = group.addMember(id, lagMs)
    this.state = 'ready'
    this.born = Date.now()
    /** Tells whether a host is cut off from this database; its connections then go silent both ways. */
    this.isCut = () => false
    /** True while the control hosts are out of its reach. */
    this.controlCut = false
  }

  async start () {
    this.#server = createServer({ noDelay: true }, socket => this.#accept(socket))
    await new Promise((resolve, reject) => this.#server.on('error', reject).listen(this.port, this.ip, resolve))
    this.#timer = setInterval(() => { this.sendHeartbeat().catch(() => undefined) }, this.beatMs)
    await this.sendHeartbeat()
  }

  /** Announces that the database leaves, until a control host has acknowledged it. */
  async drain () {
    this.state = 'draining'
    while (!await this.sendHeartbeat()) await new Promise(resolve => setTimeout(resolve, 100))
  }

  /** Ends the process: connections break, and nothing more is sent. */
  stop () {
    this.member.running = false
    clearInterval(this.#timer)
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  /** Loses power: its connections go silent, and nothing more is sent. */
  cutPower () {
    this.member.running = false
    this.#dark = true
    clearInterval(this.#timer)
    this.#server.close()
    for (const socket of this.#sockets) socket.pause()
  }

  /** Starts again at its address under its id, with its log; its former connections break. */
  async restart () {
    for (const socket of this.#sockets) socket.destroy()
    this.#sequence = 0
    this.#dark = false
    this.born = Date.now()
    this.member.running = true
    await this.start()
  }

  async sendHeartbeat () {
    if (this.controlCut || this.#dark) return false
    this.#sequence += 1
    return await this.#call('heartbeat', {
      service: this.group.service,
      address: `${this.ip}:${this.port}`,
      zone: this.zone,
      version: 'v1',
      slots: this.slots,
      state: this.state,
      cold_left_ms: 0,
      db_role: this.group.isPrimary(this.member) ? 'primary' : 'replica',
      sequence: this.#sequence,
      born: this.born
    })
  }

  async #call (name, body) {
    const address = this.control[this.#controlIndex % this.control.length]
    const acknowledged = await new Promise(resolve => {
      const call = request(`http://${address}/-/instances/${this.id}/${name}`, { method: 'POST', agent: false, headers: { 'content-type': 'application/json' }, signal: AbortSignal.timeout(CALL_TIMEOUT_MS) }, response => {
        response.resume()
        resolve(response.statusCode === HTTP_OK)
      })
      call.on('error', () => resolve(false))
      call.end(JSON.stringify(body))
    })
    if (!acknowledged) this.#controlIndex += 1
    return acknowledged
  }

  #accept (socket) {
    const peer = this.findPeer(socket.remotePort)
    this.onPeer(this.id, peer)
    this.#sockets.add(socket)
    socket.on('close', () => this.#sockets.delete(socket))
    socket.on('error', () => socket.destroy())
    DatabaseSession.create({ socket, database: this, isCut: () => this.#dark || this.isCut(peer) })
  }
}
