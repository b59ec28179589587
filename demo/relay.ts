/** A TCP relay that simulates a network partition: while it is cut, it forwards no data but closes no connection. */
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'

/** Forwards connections to one address unless it is cut. */
export class Relay implements AsyncDisposable {
  readonly #target: string
  readonly #sockets = new Set<Socket>()
  readonly #server = createServer({ noDelay: true }, socket => this.#accept(socket))
  #isCut = false

  private constructor (target: string) {
    this.#target = target
  }

  /**
   * Creates a relay; call `listen` to accept connections.
   * @example const address = await Relay.create('127.0.0.1:5432').listen()
   */
  static create (target: string): Relay {
    return new Relay(target)
  }

  /** Listens on a free loopback port and returns the address. */
  async listen (): Promise<string> {
    await new Promise<void>(resolve => this.#server.listen(0, '127.0.0.1', resolve))
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`
  }

  /** Stops forwarding, on present and new connections. */
  cut (): void {
    this.#isCut = true
    for (const socket of this.#sockets) socket.pause()
  }

  /** Resumes forwarding, including the data held back while cut. */
  resume (): void {
    this.#isCut = false
    for (const socket of this.#sockets) socket.resume()
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  #accept (inbound: Socket): void {
    const [host, port] = this.#target.split(':')
    const outbound = connect({ host, port: Number(port), noDelay: true })
    this.#forward(inbound, outbound)
    this.#forward(outbound, inbound)
  }

  #forward (source: Socket, destination: Socket): void {
    this.#sockets.add(source)
    source.on('data', chunk => destination.write(chunk))
    source.on('error', () => destination.destroy())
    source.on('close', () => {
      this.#sockets.delete(source)
      destination.destroy()
    })
    if (this.#isCut) source.pause()
  }
}
