/** Stand-in databases of one service: a primary with a log, and replicas that receive it some milliseconds later. */
import { request } from 'node:http'
import { createServer } from 'node:net'

const LINE_END = '\r\n'
const REPLICATION_LAG_MS = 8
const PROMOTION_MS = 300
const HEARTBEAT_INTERVAL_MS = 1_200
const HEARTBEAT_TIMEOUT_MS = 1_000
const CONNECT_WORK_MS = 12

/** The databases of a service, and which of them leads. */
export class Group {
  static create (service, record) {
    const group = new Group()
    group.service = service
    group.record = record
    group.members = new Map()
    group.primary = undefined
    group.term = 1
    /** Statements that ran: time, database, id, text, tenant. */
    group.runs = []
    /** When each statement of a requester arrived, by id. */
    group.arrivals = new Map()
    return group
  }

  hasRunning (id) {
    return this.members.get(id)?.running === true
  }

  /** Makes a database the primary of the next term after a moment; the logs of the others are cut to its own. */
  promote (id) {
    if (id === this.primary) return
    setTimeout(() => {
      const member = this.members.get(id)
      if (member?.running !== true) return
      this.primary = id
      this.term += 1
      this.record.write('group', `${id} leads term ${this.term} from commit ${member.log.length}`)
      for (const other of this.members.values()) {
        other.log = [...member.log]
        other.announce()
      }
    }, PROMOTION_MS)
  }

  commit (database, writes) {
    database.log.push({ term: this.term, writes })
    setTimeout(() => this.replicate(), REPLICATION_LAG_MS)
  }

  replicate () {
    const primary = this.members.get(this.primary)
    if (primary?.running !== true) return
    for (const member of this.members.values()) if (member !== primary && member.running) member.log = [...primary.log]
  }
}

/** One database. */
export class Database {
  /**
   * Starts a database.
   * @param options control: the control addresses; workMs: how long a statement holds a slot; readRows: the rows of a read of an item.
   */
  static async create (group, id, zone, { control, workMs = 6, slots = 3, readRows = undefined }) {
    const database = new Database()
    Object.assign(database, { group, id, zone, control, workMs, slots, readRows, log: [], port: 0, heartbeatsTo: 0, sockets: new Set(), lives: 0 })
    group.members.set(id, database)
    group.primary ??= id
    await database.start()
    return database
  }

  get role () {
    return this.group.primary === this.id ? 'primary' : 'replica'
  }

  /** Begins a life at the same address; nothing of an earlier one is known but what the group holds. */
  async start () {
    this.lives += 1
    this.running = true
    this.state = 'ready'
    this.sequence = 0
    this.born = Date.now()
    this.busy = 0
    this.waiting = []
    this.acknowledgedDrainAtMs = undefined
    this.server = createServer({ noDelay: true }, socket => new Connection(this, socket))
    await new Promise((resolve, reject) => {
      this.server.on('error', reject)
      this.server.listen(this.port, '127.0.0.1', resolve)
    })
    this.port = this.server.address().port
    if (this.role === 'replica') this.group.replicate()
    this.timer = setInterval(() => this.announce(), HEARTBEAT_INTERVAL_MS)
    this.announce()
  }

  /** Ends at once, without a word to the control hosts. */
  async abort () {
    this.running = false
    clearInterval(this.timer)
    for (const socket of this.sockets) socket.destroy()
    await new Promise(resolve => this.server.close(resolve))
  }

  /** Says that it leaves, until that is acknowledged. */
  async drain () {
    this.state = 'draining'
    while (this.running && !await this.announce()) await new Promise(resolve => setTimeout(resolve, 200))
    this.acknowledgedDrainAtMs = performance.now()
    this.group.record.write(this.id, 'its heartbeat with state draining was acknowledged')
  }

  /** Sends a heartbeat, to the next control host after one that failed; resolves with whether it was acknowledged. */
  async announce () {
    if (!this.running) return false
    this.sequence += 1
    const acknowledged = await this.call('heartbeat', {
      service: this.group.service,
      address: `127.0.0.1:${this.port}`,
      zone: this.zone,
      version: 'v1',
      slots: this.slots,
      state: this.state,
      cold_left_ms: 0,
      db_role: this.role,
      sequence: this.sequence,
      born: this.born
    })
    if (!acknowledged) this.heartbeatsTo += 1
    return acknowledged
  }

  async withdraw () {
    return await this.call('deregister', { born: this.born })
  }

  async call (name, message) {
    const address = this.control[this.heartbeatsTo % this.control.length]
    return await new Promise(resolve => {
      const call = request(`http://${address}/-/instances/${this.id}/${name}`, { method: 'POST', headers: { 'content-type': 'application/json' }, signal: AbortSignal.timeout(HEARTBEAT_TIMEOUT_MS), agent: false }, response => {
        response.resume()
        resolve(response.statusCode === 200)
      })
      call.on('error', () => resolve(false))
      call.end(JSON.stringify(message))
    })
  }

  /** Runs work that holds a slot for some time. */
  async hold (ms) {
    if (this.busy >= this.slots) await new Promise(resolve => this.waiting.push(resolve))
    this.busy += 1
    await new Promise(resolve => setTimeout(resolve, ms))
    this.busy -= 1
    this.waiting.shift()?.()
  }

  readPosition () {
    return `${this.group.term}.${this.log.length}`
  }

  covers (position) {
    const [term, number] = position.split('.').map(Number)
    return this.group.term > term || (this.group.term === term && this.log.length >= number)
  }

  find (item) {
    return this.log.findLast(({ writes }) => writes.some(([written]) => written === item))?.writes.findLast(([written]) => written === item)[1]
  }
}

/** One connection to a database. */
class Connection {
  constructor (database, socket) {
    Object.assign(this, { database, socket, life: database.lives, received: '', lines: [], running: false, started: false, tenant: '', prepared: new Map(), values: new Map(), transaction: undefined })
    database.sockets.add(socket)
    socket.setEncoding('latin1')
    socket.on('error', () => socket.destroy())
    socket.on('close', () => database.sockets.delete(socket))
    socket.on('data', chunk => this.receive(chunk))
  }

  receive (chunk) {
    this.received += chunk
    const lines = this.received.split(LINE_END)
    this.received = lines.pop()
    this.lines.push(...lines)
    if (!this.running) this.handleLines()
  }

  async handleLines () {
    this.running = true
    while (this.lines.length > 0 && !this.socket.destroyed) await this.handleLine(this.lines.shift())
    this.running = false
  }

  async handleLine (line) {
    const { database } = this
    if (!this.started) {
      const [word, service, tenant, id] = line.split(' ')
      await database.hold(CONNECT_WORK_MS)
      if (word !== 'START' || service !== database.group.service || (id !== undefined && id !== database.id)) {
        this.socket.end(`ERROR MISROUTED ${database.id}${LINE_END}`, 'latin1')
        return
      }
      this.started = true
      this.tenant = tenant
      this.answer([])
      return
    }
    const [word, id, ...text] = line.split(' ')
    if (id !== '-') database.group.arrivals.set(id, { atMs: performance.now(), database: database.id, text: text.join(' ') })
    if (word === 'QUERY') this.answer(await this.run(id, text.join(' ')))
    else this.socket.destroy()
  }

  answer (lines) {
    const state = this.transaction === undefined ? 'I' : this.transaction.failed ? 'E' : 'T'
    const text = [...lines, `READY ${state} ${this.database.readPosition()}`].join(LINE_END) + LINE_END
    if (!this.socket.destroyed) this.socket.write(text, 'latin1')
  }

  async run (id, text) {
    const { database } = this
    const [word, first = '', ...rest] = text.split(' ')
    switch (word) {
      case 'AFTER': return database.covers(first) ? await this.run(id, rest.join(' ')) : ['ERROR LAGGING behind']
      case 'SET':
        this.values.set(first, rest.join(' '))
        return ['DONE -']
      case 'RESET':
        this.values.clear()
        this.prepared.clear()
        return ['DONE -']
      case 'PREPARE':
        this.prepared.set(first, rest)
        return ['DONE -']
      case 'DEALLOC':
        this.prepared.delete(first)
        return ['DONE -']
      case 'PAUSE':
      case 'RESUME':
      case 'STEPDOWN':
      case 'STATUS':
        await database.hold(1)
        return [`ROW ${database.role} ${database.group.term} ${database.readPosition()} 0 ${database.busy} ${database.sockets.size}`, 'DONE -']
      case 'BEGIN': return this.begin(first === 'READ')
      case 'ROLLBACK':
        this.transaction = undefined
        return ['DONE -']
      case 'COMMIT': return await this.commit(id, text)
      case 'READ': return await this.read(id, text, first)
      case 'WRITE': return await this.change(id, text, first, rest.join(' '))
      case 'EXECUTE': {
        const [action] = this.prepared.get(first) ?? []
        if (action === undefined) return this.fail('NOSTMT')
        return action === 'READ' ? await this.read(id, text, rest[0]) : await this.change(id, text, rest[0], rest.slice(1).join(' '))
      }
      default: return this.fail('MALFORMED')
    }
  }

  begin (readOnly) {
    if (!readOnly && this.database.role !== 'primary') return [`ERROR READONLY ${this.database.id}`]
    this.transaction = { readOnly, writes: [], failed: false }
    return ['DONE -']
  }

  async read (id, text, item) {
    const { database, transaction } = this
    if (transaction?.failed === true) return this.fail('MALFORMED')
    if (transaction?.readOnly === false && database.role !== 'primary') return this.fail('READONLY')
    await database.hold(database.workMs)
    const own = transaction?.writes.findLast(([written]) => written === item)?.[1]
    const data = own ?? database.find(item)
    const rows = database.readRows?.(item) ?? (data === undefined ? [] : [data])
    return [...rows.map(row => `ROW ${row}`), this.record(id, text)]
  }

  async change (id, text, item, data) {
    const { database, transaction } = this
    if (transaction?.failed === true) return this.fail('MALFORMED')
    if (database.role !== 'primary' || transaction?.readOnly === true) return this.fail('READONLY')
    await database.hold(database.workMs)
    if (database.role !== 'primary') return this.fail('READONLY')
    if (transaction === undefined) database.group.commit(database, [[item, data]])
    else transaction.writes.push([item, data])
    return [this.record(id, text)]
  }

  async commit (id, text) {
    const { database, transaction } = this
    if (transaction === undefined || transaction.failed) {
      this.transaction = undefined
      return ['ERROR ABORTED rolled back']
    }
    await database.hold(database.workMs)
    this.transaction = undefined
    if (this.socket.destroyed) return []
    if (transaction.writes.length > 0) {
      if (database.role !== 'primary') return [`ERROR READONLY ${database.id}`]
      database.group.commit(database, transaction.writes)
    }
    return [this.record(id, text)]
  }

  fail (code) {
    if (this.transaction !== undefined) this.transaction.failed = true
    return [`ERROR ${code} ${this.database.id}`]
  }

  record (id, text) {
    const { database, tenant } = this
    database.group.runs.push({ atMs: performance.now(), database: database.id, life: this.life, id, text, tenant, state: database.state, acknowledgedDrainAtMs: database.acknowledgedDrainAtMs })
    return `DONE ${database.id}.${id}`
  }
}
