/** Stand-ins of what is outside of the system beside its databases: the platform, the operator, and callers. */
import { once } from 'node:events'
import { createServer } from 'node:http'
import { connect } from 'node:net'

/** The platform's promotion API. */
export class Platform {
  constructor (groups, onCall = () => undefined) {
    this.calls = []
    /** While it is down, calls get no answer and are not carried out. */
    this.isDown = false
    this.server = createServer((request, response) => {
      let text = ''
      request.on('data', chunk => { text += chunk })
      request.on('end', () => {
        if (this.isDown) return onCall({ unanswered: text })
        const { service, id } = JSON.parse(text)
        const fence = Number(request.headers['x-fence-token'])
        const status = groups.find(group => group.service === service)?.promote(id, fence) ?? 409
        const call = { service, id, fence, holder: request.headers['x-duty-holder'], status }
        this.calls.push(call)
        onCall(call)
        response.writeHead(status).end()
      })
    })
  }

  async start () {
    await once(this.server.listen(0, '127.0.0.1'), 'listening')
    this.address = `127.0.0.1:${this.server.address().port}`
  }

  stop () {
    this.server.close()
    this.server.closeAllConnections()
  }
}

/** Sends a desired state until a control host acknowledges it; returns the status of the last answer. */
export async function putConfiguration (control, state, limitMs = 15_000) {
  const endsAtMs = Date.now() + limitMs
  let status = 0
  for (let attempt = 0; Date.now() < endsAtMs; attempt++) {
    try {
      const response = await fetch(`http://${control[attempt % control.length]}/-/config/put`, { method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify(state), signal: AbortSignal.timeout(1_000) })
      await response.arrayBuffer()
      status = response.status
      if (status === 200 || (status >= 400 && status < 500)) return status
    } catch {
      status = 0
    }
    await new Promise(resolve => setTimeout(resolve, 200))
  }
  return status
}

/** A caller's session. Answers come one at a time; a closed connection ends the one that is awaited. */
export class Caller {
  #buffer = ''
  #lines = []
  #resolve
  #socket

  constructor (address) {
    const [host, port] = address.split(':')
    this.#socket = connect({ host, port: Number(port), noDelay: true })
    this.#socket.setEncoding('utf8')
    this.#socket.on('error', () => this.#socket.destroy())
    this.#socket.on('close', () => this.#finish({ lines: this.#lines, error: this.#lines[0]?.startsWith('ERROR ') ? this.#lines[0].split(' ')[1] : 'CLOSED', state: 'closed' }))
    this.#socket.on('data', chunk => this.#receive(chunk))
  }

  /** Opens a session; returns it with the answer to START. */
  static async open (address, database, key) {
    const caller = new Caller(address)
    return [caller, await caller.send(`START ${database} ${key}`)]
  }

  get closed () {
    return this.#socket.destroyed
  }

  async query (id, text) {
    return await this.send(`QUERY ${id} ${text}`)
  }

  async send (line) {
    if (this.#socket.destroyed) return { lines: [], error: 'CLOSED', state: 'closed' }
    return await new Promise(resolve => {
      this.#resolve = resolve
      this.#socket.write(`${line}\r\n`)
    })
  }

  close () {
    this.#socket.destroy()
  }

  #receive (chunk) {
    this.#buffer += chunk
    const lines = this.#buffer.split('\r\n')
    this.#buffer = lines.pop()
    for (const line of lines) {
      if (!line.startsWith('READY ')) {
        this.#lines.push(line)
        continue
      }
      const [, state, position] = line.split(' ')
      const last = this.#lines.at(-1) ?? ''
      this.#finish({ lines: this.#lines, state, position, error: last.startsWith('ERROR ') ? last.split(' ')[1] : undefined })
    }
  }

  #finish (answer) {
    const resolve = this.#resolve
    this.#resolve = undefined
    this.#lines = []
    resolve?.(answer)
  }
}
