/** A requester in the wire protocol, with one session. */
import { connect } from 'node:net'
import { readLines, splitFields } from './lines.js'

/** Sends statements one at a time. */
export class Client {
  #socket
  #lines = []
  #resolve
  closed = false

  constructor (address) {
    const [host, port] = address.split(':')
    this.#socket = connect({ host, port: Number(port), noDelay: true })
    this.#socket.on('error', () => this.#socket.destroy())
    this.#socket.on('close', () => {
      this.closed = true
      this.#finish({ lines: this.#lines, state: undefined })
    })
    readLines(this.#socket, line => {
      this.#lines.push(line)
      const [word, state] = splitFields(line, 3)
      if (word === 'READY') this.#finish({ lines: this.#lines, state })
    })
  }

  /** Opens a session; `error` is absent from the outcome once it is open. */
  static async create (address, route, key) {
    const client = new Client(address)
    return [client, await client.#send(`START ${route} ${key}`)]
  }

  /** Sends a statement; the outcome has the error's code, or `broken` where the connection ended without a complete answer. */
  async query (id, text) {
    return await this.#send(`QUERY ${id} ${text}`)
  }

  close () {
    this.#socket.destroy()
  }

  async #send (line) {
    if (this.closed) return { broken: true, lines: [] }
    return await new Promise(resolve => {
      this.#resolve = resolve
      this.#socket.write(line + '\r\n')
    })
  }

  #finish ({ lines, state }) {
    const resolve = this.#resolve
    this.#resolve = undefined
    this.#lines = []
    const error = lines.find(line => line.startsWith('ERROR '))
    resolve?.({ lines, state, broken: state === undefined, error: error === undefined ? undefined : splitFields(error, 3)[1] })
  }
}
