/** One connection to a stand-in database. Statements run one at a time; a connection that is cut off goes silent both ways. */
const NONE = '-'

/** Serves the line protocol on one connection. */
export class DatabaseSession {
  #parts
  #buffer = ''
  #queue = []
  #busy = false
  #started = false
  #workspace = NONE
  #transaction
  #failed = false
  #values = new Map()
  #prepared = new Map()

  constructor (parts) {
    this.#parts = parts
    const { socket } = parts
    socket.setEncoding('utf8')
    socket.on('data', chunk => this.#receive(chunk))
    socket.on('close', () => { this.#transaction = undefined })
  }

  static create (parts) {
    return new DatabaseSession(parts)
  }

  #receive (chunk) {
    if (this.#parts.isCut()) return
    this.#buffer += chunk
    const lines = this.#buffer.split('\r\n')
    this.#buffer = lines.pop()
    this.#queue.push(...lines)
    this.#handleNext()
  }

  #handleNext () {
    if (this.#busy) return
    const line = this.#queue.shift()
    if (line === undefined) return
    this.#busy = true
    this.#handleLine(line)
  }

  #answer (...lines) {
    const { socket, isCut } = this.#parts
    this.#busy = false
    if (!isCut() && !socket.destroyed) socket.write(lines.map(line => `${line}\r\n`).join(''))
    this.#handleNext()
  }

  #end (...lines) {
    const state = this.#transaction === undefined ? 'I' : this.#failed ? 'E' : 'T'
    this.#answer(...lines, `READY ${state} ${this.#formatPosition()}`)
  }

  #formatPosition () {
    const { member } = this.#parts.database
    return `${member.term}.${member.log.length}`
  }

  #handleLine (line) {
    const { socket, database } = this.#parts
    if (line === 'CLOSE') return socket.end()
    const fields = line.split(' ')
    if (!this.#started) {
      const [word, service, workspace = NONE, id] = fields
      if (word !== 'START' || service !== database.group.service || (id !== undefined && id !== database.id)) return socket.end('ERROR MISROUTED another database\r\n')
      this.#started = true
      this.#workspace = workspace
      return this.#answer(`READY I ${this.#formatPosition()}`)
    }
    const [, id, ...words] = fields
    this.#run(id, words)
  }

  #run (id, words) {
    const { database } = this.#parts
    const [word, ...rest] = words
    const isWork = word === 'READ' || word === 'WRITE' || word === 'EXECUTE' || word === 'COMMIT'
    if (isWork && database.workMs > 0) setTimeout(() => this.#execute(id, word, rest), database.workMs)
    else this.#execute(id, word, rest)
  }

  #execute (id, word, rest) {
    const { group, member } = this.#parts.database
    switch (word) {
      case 'STATUS': return this.#endStatus()
      case 'PAUSE':
        if (Number(rest[0]) > group.term && !group.isPrimary(member)) member.paused = true
        return this.#endStatus()
      case 'RESUME':
        group.resume(member)
        return this.#endStatus()
      case 'SET':
        this.#values.set(rest[0], rest.slice(1).join(' '))
        return this.#end('DONE -')
      case 'RESET':
        this.#values.clear()
        this.#prepared.clear()
        return this.#end('DONE -')
      case 'PREPARE':
        this.#prepared.set(rest[0], rest.slice(1).join(' '))
        return this.#end('DONE -')
      case 'AFTER': return this.#runAfter(id, rest)
      case 'BEGIN': return this.#begin(rest[0] === 'READ')
      case 'ROLLBACK':
        this.#transaction = undefined
        this.#failed = false
        return this.#end('DONE -')
      case 'COMMIT': return this.#commit(id)
      case 'READ': return this.#read(id, rest[0], `READ ${rest.join(' ')}`)
      case 'WRITE': return this.#write(id, rest[0], rest.slice(1).join(' '), `WRITE ${rest.join(' ')}`)
      case 'EXECUTE': return this.#executePrepared(id, rest)
      default: return this.#end('ERROR MALFORMED unknown')
    }
  }

  #endStatus () {
    const { group, member } = this.#parts.database
    this.#end(`ROW ${group.isPrimary(member) ? 'primary' : 'replica'} ${group.term} ${this.#formatPosition()} ${member.paused ? group.term + 1 : 0} 0 0 1`, 'DONE -')
  }

  #runAfter (id, [position, ...words]) {
    const { member } = this.#parts.database
    const [term, number] = position.split('.').map(Number)
    const covers = member.term > term || (member.term === term && member.log.length >= number)
    return covers ? this.#execute(id, words[0], words.slice(1)) : this.#end('ERROR LAGGING behind')
  }

  #begin (readOnly) {
    const { group, member } = this.#parts.database
    if (!readOnly && !group.isPrimary(member)) return this.#end(`ERROR READONLY ${member.id}`)
    this.#transaction = { readOnly, writes: [], term: group.term }
    this.#end('DONE -')
  }

  #failStatement (code) {
    this.#failed = this.#transaction !== undefined
    this.#end(`ERROR ${code} ${this.#parts.database.id}`)
  }

  // A plain transaction ends with the lead under which it began.
  #hasLead () {
    const { group, member } = this.#parts.database
    return group.isPrimary(member) && (this.#transaction === undefined || this.#transaction.term === group.term)
  }

  #read (id, item, text) {
    const { database } = this.#parts
    const { member } = database
    if (this.#failed) return this.#end('ERROR MALFORMED failed')
    if (this.#transaction?.readOnly === false && !this.#hasLead()) return this.#failStatement('READONLY')
    const own = this.#transaction?.writes.findLast(([written]) => written === item)
    const held = own ?? member.log.findLast(entry => entry.writes.some(([written]) => written === item))?.writes.findLast(([written]) => written === item)
    database.onRun({ id, text, database: database.id, workspace: this.#workspace, position: this.#formatPosition() })
    const rows = database.listRows?.(item) ?? (held === undefined ? [] : [held[1]])
    this.#end([...rows.map(row => `ROW ${row}`), `DONE ${database.id}.${id}`].join('\r\n'))
  }

  #write (id, item, data, text) {
    const { database } = this.#parts
    if (this.#failed) return this.#end('ERROR MALFORMED failed')
    if (this.#transaction?.readOnly === true || !this.#hasLead()) return this.#failStatement('READONLY')
    database.onRun({ id, text, database: database.id, workspace: this.#workspace, position: this.#formatPosition() })
    if (this.#transaction === undefined) return this.#append(id, [[item, data]])
    this.#transaction.writes.push([item, data])
    this.#end(`DONE ${database.id}.${id}`)
  }

  #commit (id) {
    const { database } = this.#parts
    const transaction = this.#transaction
    const lost = transaction !== undefined && transaction.writes.length > 0 && !this.#hasLead()
    const failed = this.#failed || transaction === undefined
    this.#transaction = undefined
    this.#failed = false
    if (failed) return this.#end('ERROR ABORTED rolled back')
    if (lost) return this.#end(`ERROR READONLY ${database.id}`)
    database.onRun({ id, text: 'COMMIT', database: database.id, workspace: this.#workspace, position: this.#formatPosition() })
    if (transaction.writes.length === 0) return this.#end(`DONE ${database.id}.${id}`)
    this.#append(id, transaction.writes)
  }

  // A commit that the former primary can't complete gets no answer: its connection breaks.
  #append (id, writes) {
    const { database, socket } = this.#parts
    database.group.appendCommit(database.member, writes, entry => {
      if (entry === undefined) socket.destroy()
      else this.#end(`DONE ${database.id}.${id}`)
    })
  }

  #executePrepared (id, [name, item, ...data]) {
    const definition = this.#prepared.get(name)
    if (definition === undefined) return this.#end('ERROR NOSTMT no such name')
    const text = `EXECUTE (${definition}) ${[item, ...data].join(' ')}`
    return definition.startsWith('READ') ? this.#read(id, item, text) : this.#write(id, item, data.join(' '), text)
  }
}
