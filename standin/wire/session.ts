/** One connection to a stand-in database of the platform. Reports each statement with its workspace and session values, for tests to check. */
import type { Socket } from 'node:net'
import { formatLines, LineReader, NONE, splitLine } from '../../platform/lines.js'
import type { GroupMember, WireGroup } from './group.js'

/** The options of a session. */
export interface WireSessionOptions {
  readonly socket: Socket
  readonly group: WireGroup
  readonly member: GroupMember
  /** How long a read, write or commit takes, in milliseconds; at once when absent. */
  readonly workMs?: number
  /** Returns what a statement of a caller waits for before it runs; undefined when it does not wait. */
  readonly holdStatement?: (text: string) => Promise<void> | undefined
  /** Called for each statement that ran. */
  readonly onRun: (run: StatementRun) => void
}

/** A statement that ran, with the workspace and session values that it ran with. */
export interface StatementRun {
  readonly id: string
  readonly text: string
  readonly workspace: string
  readonly database: string
  readonly values: Readonly<Record<string, string>>
}

/** Serves the line protocol on one connection. */
export class WireSession {
  readonly #options: WireSessionOptions
  readonly #reader = LineReader.create()
  readonly #sessionValues = new Map<string, string>()
  readonly #prepared = new Map<string, string>()
  #workspace = ''
  #started = false
  #transaction: { readonly readOnly: boolean, readonly writes: Array<readonly [string, string]> } | undefined
  #transactionFailed = false
  /** Resolves once the replicas hold the commit of the running statement. */
  #copies: Promise<boolean> | undefined

  private constructor (options: WireSessionOptions) {
    this.#options = options
    options.socket.setEncoding('utf8')
    options.socket.on('error', () => options.socket.destroy())
    options.socket.on('data', chunk => {
      for (const line of this.#reader.read(chunk as unknown as string)) this.#handleLine(line)
    })
  }

  /**
   * Creates the session of a connection.
   * @example WireSession.create({ socket, group, member, onRun })
   */
  static create (options: WireSessionOptions): WireSession {
    return new WireSession(options)
  }

  #handleLine (line: string): void {
    const { socket, group, member } = this.#options
    if (this.#started) return this.#query(line)
    const [word, service, workspace = '', id] = splitLine(line, 4)
    this.#workspace = workspace
    this.#started = true
    const matches = word === 'START' && service === group.service && (id === undefined || id === member.id)
    if (matches) this.#write(`READY I ${this.#readPosition()}`)
    else socket.end(formatLines('ERROR MISROUTED another database'))
  }

  #query (line: string): void {
    const [, id = '', text = ''] = splitLine(line, 3)
    const { socket, workMs, holdStatement } = this.#options
    const held = id === NONE ? undefined : holdStatement?.(text)
    if (held !== undefined) {
      held.then(() => this.#answer(id, text), () => socket.destroy())
      return
    }
    if (workMs === undefined || id === NONE) return this.#answer(id, text)
    setTimeout(() => this.#answer(id, text), workMs)
  }

  #answer (id: string, text: string): void {
    const lines = this.#run(id, text)
    const copies = this.#copies
    this.#copies = undefined
    if (copies === undefined) return this.#writeAnswer(lines)
    copies.then(acknowledged => this.#writeAnswer(acknowledged ? lines : ['ERROR INDOUBT the primary was replaced']), () => this.#options.socket.destroy())
  }

  #writeAnswer (lines: readonly string[]): void {
    const state = this.#transaction === undefined ? 'I' : this.#transactionFailed ? 'E' : 'T'
    this.#write(...lines, `READY ${state} ${this.#readPosition()}`)
  }

  #run (id: string, text: string): readonly string[] {
    const [word, ...rest] = text.split(' ')
    switch (word) {
      case 'STATUS': return this.#describeStatus()
      case 'PAUSE':
      case 'RESUME':
        this.#options.group.setHeldTerm(this.#options.member.id, word === 'PAUSE' ? Number(rest[0]) : 0)
        return this.#describeStatus()
      case 'SET':
        this.#sessionValues.set(rest[0]!, rest.slice(1).join(' '))
        return ['DONE -']
      case 'RESET':
        this.#sessionValues.clear()
        this.#prepared.clear()
        return ['DONE -']
      case 'PREPARE':
        this.#prepared.set(rest[0]!, rest.slice(1).join(' '))
        return ['DONE -']
      case 'BEGIN': return this.#begin(rest[0] === 'READ')
      case 'ROLLBACK':
        this.#transaction = undefined
        this.#transactionFailed = false
        return ['DONE -']
      case 'COMMIT': return this.#commit(id, text)
      case 'AFTER': return this.#covers(rest[0]!) ? this.#run(id, rest.slice(1).join(' ')) : ['ERROR LAGGING behind']
      case 'READ': return this.#read(id, text, rest[0]!)
      case 'WRITE': return this.#change(id, text, rest[0]!, rest[1] ?? '')
      case 'EXECUTE': return this.#execute(id, text, rest)
      default: return ['ERROR MALFORMED unknown']
    }
  }

  #describeStatus (): readonly string[] {
    const { member } = this.#options
    return [`ROW ${this.#isPrimary() ? 'primary' : 'replica'} ${member.term} ${this.#readPosition()} ${member.heldTerm} 0 0 1`, 'DONE -']
  }

  #execute (id: string, text: string, [name, item, data]: readonly string[]): readonly string[] {
    const definition = this.#prepared.get(name ?? '')
    if (definition === undefined) return ['ERROR NOSTMT no such name']
    return definition.startsWith('READ') ? this.#read(id, `${text} (${definition})`, item!) : this.#change(id, `${text} (${definition})`, item!, data ?? '')
  }

  #begin (readOnly: boolean): readonly string[] {
    if (!readOnly && !this.#isPrimary()) return [`ERROR READONLY ${this.#options.member.id}`]
    this.#transaction = { readOnly, writes: [] }
    return ['DONE -']
  }

  #commit (id: string, text: string): readonly string[] {
    const transaction = this.#transaction
    this.#transaction = undefined
    if (this.#transactionFailed || transaction === undefined) {
      this.#transactionFailed = false
      return ['ERROR ABORTED rolled back']
    }
    if (transaction.writes.length > 0 && !this.#isPrimary()) return [`ERROR READONLY ${this.#options.member.id}`]
    if (transaction.writes.length > 0) this.#copies = this.#options.group.appendCommit(this.#options.member.id, transaction.writes)
    return this.#finishStatement(id, text)
  }

  #read (id: string, text: string, item: string): readonly string[] {
    const readWrite = this.#transaction?.readOnly === false
    if (readWrite && !this.#isPrimary()) return this.#failStatement('READONLY')
    const own = this.#transaction?.writes.findLast(([written]) => written === item)?.[1]
    const data = own ?? this.#options.member.log.findLast(commit => commit.item === item)?.data
    return [...(data === undefined ? [] : [`ROW ${data}`]), ...this.#finishStatement(id, text)]
  }

  #change (id: string, text: string, item: string, data: string): readonly string[] {
    if (!this.#isPrimary() || this.#transaction?.readOnly === true) return this.#failStatement('READONLY')
    if (this.#transaction === undefined) this.#copies = this.#options.group.appendCommit(this.#options.member.id, [[item, data]])
    else this.#transaction.writes.push([item, data])
    return this.#finishStatement(id, text)
  }

  #failStatement (code: string): readonly string[] {
    this.#transactionFailed = this.#transaction !== undefined
    return [`ERROR ${code} ${this.#options.member.id}`]
  }

  #finishStatement (id: string, text: string): readonly string[] {
    const { onRun, member } = this.#options
    onRun({ id, text, workspace: this.#workspace, database: member.id, values: Object.fromEntries(this.#sessionValues) })
    return [`DONE ${member.id}.${id}`]
  }

  #isPrimary (): boolean {
    return this.#options.group.primary === this.#options.member.id
  }

  #readPosition (): string {
    const { log, term } = this.#options.member
    return `${term}.${log.at(-1)?.commitNumber ?? 0}`
  }

  #covers (position: string): boolean {
    const [term = 0, commitNumber = 0] = position.split('.').map(Number)
    const { log, term: known } = this.#options.member
    const last = log.at(-1)
    return known > term || (last?.commitNumber ?? 0) >= commitNumber
  }

  #write (...lines: readonly string[]): void {
    this.#options.socket.write(formatLines(...lines))
  }
}
