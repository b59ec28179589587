/** Clients that keep to no limit. */
import { connect, type Socket } from 'node:net'

/** How long a crowd goes on at most. */
const CROWD_MS = 4_000
const RECONNECT_DELAY_MS = 100

/** What each client of a crowd does. */
export interface ClientBehaviour {
  /** Sends what the client sends; resolves once it is written. */
  readonly send: (connection: Connection) => Promise<void>
  /** False when the client does not read what it is sent. */
  readonly reads: boolean
  /** True when the client connects again after each end of its connection. */
  readonly returns?: boolean
}

/** One connection of a client. */
export class Connection {
  readonly #socket: Socket

  private constructor (socket: Socket) {
    this.#socket = socket
  }

  /** Wraps a socket that is being opened. */
  static create (socket: Socket): Connection {
    return new Connection(socket)
  }

  /** Writes bytes; resolves once the system has taken them, or the connection has ended. */
  async write (bytes: Buffer | string): Promise<void> {
    if (this.#socket.destroyed) return
    await new Promise<void>(resolve => {
      this.#socket.once('close', resolve)
      this.#socket.write(bytes, () => {
        this.#socket.off('close', resolve)
        resolve()
      })
    })
  }

  /** Writes bytes in pieces. */
  async writePieces (bytes: Buffer, pieceBytes: number): Promise<void> {
    for (let start = 0; start < bytes.length && !this.#socket.destroyed; start += pieceBytes) await this.write(bytes.subarray(start, start + pieceBytes))
  }
}

/** Several clients with the same behaviour. */
export class Crowd {
  readonly #sockets = new Set<Socket>()
  #closed = false

  private constructor () {}

  /** Lets a crowd loose; returns once all its clients have sent what they send, or after some seconds. */
  static async create (address: string, count: number, behaviour: ClientBehaviour): Promise<Crowd> {
    const crowd = new Crowd()
    const clients = Array.from({ length: count }, async () => await crowd.#runClient(address, behaviour))
    await Promise.race([Promise.all(clients), new Promise(resolve => setTimeout(resolve, CROWD_MS))])
    return crowd
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    this.#closed = true
    for (const socket of this.#sockets) socket.destroy()
  }

  async #runClient (address: string, behaviour: ClientBehaviour): Promise<void> {
    const [host, port] = address.split(':')
    const socket = connect({ host: host!, port: Number(port), noDelay: true, allowHalfOpen: true })
    this.#sockets.add(socket)
    socket.on('error', () => socket.destroy())
    socket.on('close', () => {
      this.#sockets.delete(socket)
      if (behaviour.returns !== true || this.#closed) return
      setTimeout(() => { if (!this.#closed) this.#runClient(address, behaviour).catch(() => undefined) }, RECONNECT_DELAY_MS)
    })
    if (behaviour.reads) socket.resume()
    await behaviour.send(Connection.create(socket))
  }
}
