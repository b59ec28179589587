/** A TCP relay that can be cut silently: bytes wait, nothing is closed. */
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'

/** Passes connections on to one address until it is cut. */
export class Relay implements AsyncDisposable {
  readonly #target: string
  readonly #sockets = new Set<Socket>()
  readonly #server = createServer({ noDelay: true }, socket => this.#accept(socket))
  #cut = false

  private constructor (target: string) {
    this.#target = target
  }

  /**
   * Creates a relay that does not listen yet.
   * @example const address = await Relay.create('127.0.0.1:5432').listen()
   */
  static create (target: string): Relay {
    return new Relay(target)
  }

  /** Starts to listen and returns the address. */
  async listen (): Promise<string> {
    await new Promise<void>(resolve => this.#server.listen(0, '127.0.0.1', resolve))
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`
  }

  /** Stops all bytes, of new connections too. */
  cut (): void {
    this.#cut = true
    for (const socket of this.#sockets) socket.pause()
  }

  /** Lets all bytes go on. */
  join (): void {
    this.#cut = false
    for (const socket of this.#sockets) socket.resume()
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  #accept (inbound: Socket): void {
    const [host, port] = this.#target.split(':')
    const outbound = connect({ host, port: Number(port), noDelay: true })
    this.#join(inbound, outbound)
    this.#join(outbound, inbound)
  }

  #join (from: Socket, to: Socket): void {
    this.#sockets.add(from)
    from.on('data', chunk => to.write(chunk))
    from.on('error', () => to.destroy())
    from.on('close', () => {
      this.#sockets.delete(from)
      to.destroy()
    })
    if (this.#cut) from.pause()
  }
}
