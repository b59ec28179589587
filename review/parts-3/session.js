/** One connection to a stand-in database, as PROTOCOL.md describes it under "The wire" and "Databases". */
import { readLines, splitFields } from './lines.js'

/** Serves the statements of one connection. */
export class Session {
  #socket
  #database
  #record
  #tenant = '-'
  #started = false
  #prepared = new Map()
  #values = new Map()
  #transaction
  #queue = Promise.resolve()

  constructor (socket, database, record) {
    this.#socket = socket
    this.#database = database
    this.#record = record
    socket.on('error', () => socket.destroy())
    readLines(socket, line => { this.#queue = this.#queue.then(async () => await this.#handleLine(line)).catch(() => socket.destroy()) })
  }

  static create (socket, database, record) {
    return new Session(socket, database, record)
  }

  async #handleLine (line) {
    if (!this.#started) return this.#start(line)
    const [word, id, text] = splitFields(line, 3)
    if (word === 'CLOSE') return this.#socket.end()
    if (word !== 'QUERY') return this.#socket.end('ERROR MALFORMED line\r\n')
    await this.#database.awaitTurn(id, text)
    const lines = await this.#run(id, text)
    // A statement whose answer is lost.
    if (lines === undefined || this.#socket.destroyed) return
    const state = this.#transaction === undefined ? 'I' : this.#transaction.failed ? 'E' : 'T'
    this.#socket.write([...lines, `READY ${state} ${this.#database.readPosition()}`].map(text => text + '\r\n').join(''))
  }

  #start (line) {
    const [word, service, tenant = '-', id] = splitFields(line, 4)
    this.#started = true
    this.#tenant = tenant
    const matches = word === 'START' && service === this.#database.group.service && (id === undefined || id === this.#database.id)
    if (matches) this.#socket.write(`READY I ${this.#database.readPosition()}\r\n`)
    else this.#socket.end('ERROR MISROUTED another database\r\n')
  }

  async #run (id, text) {
    const [word, ...rest] = text.split(' ')
    const database = this.#database
    if (this.#transaction?.failed === true && word !== 'COMMIT' && word !== 'ROLLBACK') return ['ERROR MALFORMED the transaction failed']
    switch (word) {
      case 'STATUS': return database.describeStatus()
      case 'PAUSE': return database.hold(Number(rest[0]))
      case 'RESUME': return database.resume()
      case 'SET':
        this.#values.set(rest[0], rest.slice(1).join(' '))
        return ['DONE -']
      case 'RESET':
        this.#values.clear()
        this.#prepared.clear()
        return ['DONE -']
      case 'PREPARE':
        this.#prepared.set(rest[0], rest.slice(1).join(' '))
        return ['DONE -']
      case 'DEALLOC': return this.#prepared.delete(rest[0]) ? ['DONE -'] : ['ERROR NOSTMT no such name']
      case 'BEGIN': return this.#begin(rest[0] === 'READ')
      case 'ROLLBACK':
        this.#transaction = undefined
        return ['DONE -']
      case 'COMMIT': return await this.#commit(id)
      case 'AFTER': return database.covers(rest[0]) ? await this.#run(id, rest.slice(1).join(' ')) : ['ERROR LAGGING behind']
      case 'READ': return this.#read(id, text, rest[0])
      case 'WRITE': return await this.#change(id, text, rest[0], rest.slice(1).join(' '))
      case 'EXECUTE': return await this.#execute(id, text, rest)
      default: return ['ERROR MALFORMED unknown']
    }
  }

  async #execute (id, text, [name, item, ...data]) {
    const definition = this.#prepared.get(name)
    if (definition === undefined) return ['ERROR NOSTMT no such name']
    const resolved = [definition, item, ...data].join(' ')
    return definition.startsWith('READ') ? this.#read(id, resolved, item) : await this.#change(id, resolved, item, data.join(' '))
  }

  #begin (readOnly) {
    if (!readOnly && !this.#database.isPrimary()) return this.#refuse('READONLY')
    this.#transaction = { readOnly, writes: [], failed: false, term: this.#database.group.term }
    return ['DONE -']
  }

  #read (id, text, item) {
    if (this.#transaction?.readOnly === false && !this.#database.isPrimary()) return this.#refuse('READONLY')
    const own = this.#transaction?.writes.findLast(write => write.item === item)
    const found = own ?? this.#database.findItem(item)
    this.#recordRun(id, text)
    const rows = this.#database.readRows(item)
    if (rows !== undefined) return [...rows, this.#formatDigest(id)]
    return [...(found === undefined ? [] : [`ROW ${found.data}`]), this.#formatDigest(id)]
  }

  async #change (id, text, item, data) {
    if (!this.#database.isPrimary() || this.#transaction?.readOnly === true) return this.#refuse('READONLY')
    this.#recordRun(id, text)
    if (this.#transaction !== undefined) {
      this.#transaction.writes.push({ item, data })
      return [this.#formatDigest(id)]
    }
    return await this.#store(id, [{ item, data }])
  }

  async #commit (id) {
    const transaction = this.#transaction
    this.#transaction = undefined
    if (transaction === undefined || transaction.failed) return ['ERROR ABORTED rolled back']
    this.#recordRun(id, 'COMMIT')
    if (transaction.writes.length === 0) return [this.#formatDigest(id)]
    if (!this.#database.isPrimary() || transaction.term !== this.#database.group.term) return this.#refuse('READONLY')
    return await this.#store(id, transaction.writes)
  }

  // Without an answer where the primary lost its role before the commit was acknowledged.
  async #store (id, writes) {
    const acknowledged = await this.#database.appendCommit(id, writes)
    if (acknowledged) return [this.#formatDigest(id)]
    this.#socket.destroy()
    return undefined
  }

  #refuse (code) {
    if (this.#transaction !== undefined) this.#transaction.failed = true
    return [`ERROR ${code} ${this.#database.id}`]
  }

  #formatDigest (id) {
    return `DONE ${this.#database.id}.${id}`
  }

  #recordRun (id, text) {
    this.#database.group.onRun({ id, text, database: this.#database.id, tenant: this.#tenant, values: Object.fromEntries(this.#values), inTransaction: this.#transaction !== undefined })
    this.#record.add('run', { database: this.#database.id, id, tenant: this.#tenant, text: text.slice(0, 80), values: Object.fromEntries(this.#values) })
  }
}
