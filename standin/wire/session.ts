/** One connection to a stand-in database of the platform. It records what must never happen. */
import type { Socket } from 'node:net'
import { formatLines, LineReader, splitLine } from '../../platform/lines.js'
import type { Member, WireGroup } from './group.js'

/** What a session needs from its database. */
export interface SessionParts {
  readonly socket: Socket
  readonly group: WireGroup
  readonly member: Member
  /** Tells of a statement that ran, with the session values that it ran under. */
  readonly onRun: (run: StatementRun) => void
}

/** A statement that ran. */
export interface StatementRun {
  readonly id: string
  readonly text: string
  readonly who: string
  readonly database: string
  readonly values: Readonly<Record<string, string>>
}

/** Answers one connection's lines. */
export class WireSession {
  readonly #parts: SessionParts
  readonly #reader = LineReader.create()
  readonly #values = new Map<string, string>()
  readonly #prepared = new Map<string, string>()
  #who = ''
  #started = false
  #transaction: { readonly readOnly: boolean, readonly writes: Array<readonly [string, string]> } | undefined
  #failed = false

  private constructor (parts: SessionParts) {
    this.#parts = parts
    parts.socket.setEncoding('utf8')
    parts.socket.on('error', () => parts.socket.destroy())
    parts.socket.on('data', chunk => {
      for (const line of this.#reader.read(chunk as unknown as string)) this.#take(line)
    })
  }

  /**
   * Creates the session of a connection.
   * @example WireSession.create({ socket, group, member, onRun })
   */
  static create (parts: SessionParts): WireSession {
    return new WireSession(parts)
  }

  #take (line: string): void {
    const { socket, group, member } = this.#parts
    if (this.#started) return this.#query(line)
    const [word, service, who = '', id] = splitLine(line, 4)
    this.#who = who
    this.#started = true
    const right = word === 'START' && service === group.service && (id === undefined || id === member.id)
    if (right) this.#write(`READY I ${this.#readPosition()}`)
    else socket.end(formatLines('ERROR MISROUTED another database'))
  }

  #query (line: string): void {
    const [, id = '', text = ''] = splitLine(line, 3)
    const lines = this.#run(id, text)
    const state = this.#transaction === undefined ? 'I' : this.#failed ? 'E' : 'T'
    this.#write(...lines, `READY ${state} ${this.#readPosition()}`)
  }

  #run (id: string, text: string): readonly string[] {
    const [word, ...rest] = text.split(' ')
    switch (word) {
      case 'STATUS': return [`ROW ${this.#isPrimary() ? 'primary' : 'replica'} ${this.#parts.group.term} ${this.#readPosition()} 0 0 0 1`, 'DONE -']
      case 'SET':
        this.#values.set(rest[0]!, rest.slice(1).join(' '))
        return ['DONE -']
      case 'RESET':
        this.#values.clear()
        this.#prepared.clear()
        return ['DONE -']
      case 'PREPARE':
        this.#prepared.set(rest[0]!, rest.slice(1).join(' '))
        return ['DONE -']
      case 'BEGIN': return this.#begin(rest[0] === 'READ')
      case 'ROLLBACK':
        this.#transaction = undefined
        this.#failed = false
        return ['DONE -']
      case 'COMMIT': return this.#commit(id, text)
      case 'AFTER': return this.#covers(rest[0]!) ? this.#run(id, rest.slice(1).join(' ')) : ['ERROR LAGGING behind']
      case 'READ': return this.#read(id, text, rest[0]!)
      case 'WRITE': return this.#change(id, text, rest[0]!, rest[1] ?? '')
      case 'EXECUTE': return this.#execute(id, text, rest)
      default: return ['ERROR MALFORMED unknown']
    }
  }

  #execute (id: string, text: string, [name, item, data]: readonly string[]): readonly string[] {
    const definition = this.#prepared.get(name ?? '')
    if (definition === undefined) return ['ERROR NOSTMT no such name']
    return definition.startsWith('READ') ? this.#read(id, `${text} (${definition})`, item!) : this.#change(id, `${text} (${definition})`, item!, data ?? '')
  }

  #begin (readOnly: boolean): readonly string[] {
    if (!readOnly && !this.#isPrimary()) return [`ERROR READONLY ${this.#parts.member.id}`]
    this.#transaction = { readOnly, writes: [] }
    return ['DONE -']
  }

  #commit (id: string, text: string): readonly string[] {
    const transaction = this.#transaction
    this.#transaction = undefined
    if (this.#failed || transaction === undefined) {
      this.#failed = false
      return ['ERROR ABORTED rolled back']
    }
    if (transaction.writes.length > 0 && !this.#isPrimary()) return [`ERROR READONLY ${this.#parts.member.id}`]
    if (transaction.writes.length > 0) this.#parts.group.appendCommits(this.#parts.member.id, transaction.writes)
    return this.#finish(id, text)
  }

  #read (id: string, text: string, item: string): readonly string[] {
    const plain = this.#transaction?.readOnly === false
    if (plain && !this.#isPrimary()) return this.#fail('READONLY')
    const own = this.#transaction?.writes.findLast(([written]) => written === item)?.[1]
    const data = own ?? this.#parts.member.log.findLast(commit => commit.item === item)?.data
    return [...(data === undefined ? [] : [`ROW ${data}`]), ...this.#finish(id, text)]
  }

  #change (id: string, text: string, item: string, data: string): readonly string[] {
    if (!this.#isPrimary() || this.#transaction?.readOnly === true) return this.#fail('READONLY')
    if (this.#transaction === undefined) this.#parts.group.appendCommits(this.#parts.member.id, [[item, data]])
    else this.#transaction.writes.push([item, data])
    return this.#finish(id, text)
  }

  #fail (code: string): readonly string[] {
    this.#failed = this.#transaction !== undefined
    return [`ERROR ${code} ${this.#parts.member.id}`]
  }

  #finish (id: string, text: string): readonly string[] {
    const { onRun, member } = this.#parts
    onRun({ id, text, who: this.#who, database: member.id, values: Object.fromEntries(this.#values) })
    return [`DONE ${member.id}.${id}`]
  }

  #isPrimary (): boolean {
    return this.#parts.group.primary === this.#parts.member.id
  }

  #readPosition (): string {
    const last = this.#parts.member.log[this.#parts.member.log.length - 1]
    return `${this.#parts.group.term}.${last?.number ?? 0}`
  }

  #covers (position: string): boolean {
    const [term = 0, number = 0] = position.split('.').map(Number)
    const last = this.#parts.member.log[this.#parts.member.log.length - 1]
    return this.#parts.group.term > term || (last?.number ?? 0) >= number
  }

  #write (...lines: readonly string[]): void {
    this.#parts.socket.write(formatLines(...lines))
  }
}
