/** A requester: one session over the wire protocol, whose lines end in CR LF. */
import { connect } from 'node:net'

const LINE_END = '\r\n'

/** One session. */
export class Client {
  /** Connects and sends START; resolves with the session and the answer to START. */
  static async create (address, route, key, { onLine = () => undefined, bytesPerSecond = Infinity } = {}) {
    const client = new Client()
    const [host, port] = address.split(':')
    client.received = ''
    client.lines = []
    client.onLine = onLine
    client.closed = false
    client.bytes = 0
    client.bytesPerSecond = bytesPerSecond
    client.socket = connect({ host, port: Number(port), noDelay: true })
    client.socket.setEncoding('latin1')
    client.socket.on('error', () => client.socket.destroy())
    client.socket.on('data', chunk => client.receive(chunk))
    client.socket.on('close', () => client.finish(undefined))
    const answer = await client.sendLine(`START ${route} ${key}`)
    return [client, answer]
  }

  /** Sends a statement; resolves with its answer, or with `closed` set when the connection ended before the answer was whole. */
  async query (id, text) {
    return await this.sendLine(`QUERY ${id} ${text}`)
  }

  /** Sends a line and waits for an answer. */
  async sendLine (line) {
    if (this.closed) return { lines: [], closed: true }
    return await new Promise(resolve => {
      this.resolveAnswer = resolve
      this.socket.write(line + LINE_END, 'latin1')
    })
  }

  receive (chunk) {
    this.bytes += chunk.length
    this.throttle(chunk.length)
    this.received += chunk
    const lines = this.received.split(LINE_END)
    this.received = lines.pop()
    for (const line of lines) this.receiveLine(line)
  }

  // Reads no faster than the link of this requester.
  throttle (bytes) {
    if (this.bytesPerSecond === Infinity) return
    this.socket.pause()
    setTimeout(() => this.socket.resume(), bytes / this.bytesPerSecond * 1_000)
  }

  receiveLine (line) {
    this.onLine(line)
    const ready = /^READY ([ITE]) (\S+)$/.exec(line)
    if (ready === null) {
      this.lines.push(line)
      return
    }
    this.finish({ state: ready[1], position: ready[2] })
  }

  finish (ready) {
    if (ready === undefined) this.closed = true
    const { lines, resolveAnswer } = this
    this.lines = []
    this.resolveAnswer = undefined
    const error = lines.findLast(line => line.startsWith('ERROR '))
    resolveAnswer?.({ lines, error: error?.split(' ')[1], ...(ready ?? { closed: true }) })
  }

  /** Ends the session. */
  close () {
    this.closed = true
    this.socket.destroy()
  }
}
