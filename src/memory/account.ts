/** The account of the bytes and connections of a process. */
import type { Socket } from 'node:net'
import { Adapter } from '../core/adapter.js'
import type { HostPost } from '../messages.js'
import { calculateFairBytes, chooseReplaced, hasRoom, isAccepted, isReadAhead, isRequestAdmitted, isStateAdmitted, type CloseConnection } from './decide.js'
import type { ConnectionKind, ConnectionUse, LimitCounts, Stage } from './messages.js'
import { NO_COUNTS, type MemoryLimits } from './state.js'

const MEASURE_INTERVAL_MS = 1_000
/** Reading goes on once this part of the limit is free again. */
const RESUME_FRACTION = 0.9
/** What was released is collected meanwhile: reading on at once would add faster than the memory is freed. */
const RESUME_DELAY_MS = 100

/** Those who share a part of the account: the connections of a workspace, or those of operators and databases. */
interface Party {
  readonly name: string
  connections: number
  bytes: number
}

/** One connection in the account. */
export class ConnectionShare {
  readonly number: number
  readonly kind: ConnectionKind
  readonly #account: MemoryAccount
  readonly #socket: Socket
  #party: Party | undefined
  #stage: Stage = 'starting'
  #sinceMs = performance.now()
  #readBytes = 0
  #unreadBytes = 0
  #stateBytes = 0
  #released = false
  /** How much the other end had read when it last read something. */
  #takenBytes = 0

  private constructor (account: MemoryAccount, socket: Socket, kind: ConnectionKind, number: number) {
    this.#account = account
    this.#socket = socket
    this.kind = kind
    this.number = number
  }

  /**
   * Creates the share of a connection that was just accepted.
   * @example ConnectionShare.create(account, socket, 'caller', 1)
   */
  static create (account: MemoryAccount, socket: Socket, kind: ConnectionKind, number: number): ConnectionShare {
    return new ConnectionShare(account, socket, kind, number)
  }

  /** Bytes that the connection holds. */
  get bytes (): number {
    return this.#readBytes + this.#unreadBytes
  }

  /** What the connection takes. */
  get use (): ConnectionUse {
    return { connection: this.number, kind: this.kind, stage: this.#stage, sinceMs: this.#sinceMs, bytes: this.bytes }
  }

  /** Updates the bytes that were read and not answered; `receiving` while the rest of a message is missing. */
  update (readBytes: number, receiving: boolean): void {
    this.#setBytes(readBytes, this.#socket.writableLength)
    if (this.#stage !== 'starting' && this.#stage !== 'ending') this.#changeStage(receiving ? 'receiving' : this.#unreadBytes > this.#account.fairBytes ? 'unread' : 'idle')
  }

  /** The first message is complete: the connection is in use from now on. */
  finishStart (): void {
    if (this.#stage === 'starting') this.#changeStage('idle')
  }

  /** Nothing more is read: the connection waits until the other end has read what it was sent, and closes its side. */
  finish (): void {
    this.#changeStage('ending')
  }

  /** Measures what was written and not read; returns false for a connection that waits for nothing. */
  observe (nowMs: number): boolean {
    const { writableLength, bytesWritten } = this.#socket
    this.#setBytes(this.#readBytes, writableLength)
    const takenBytes = bytesWritten - writableLength
    if ((this.#stage === 'unread' || this.#stage === 'ending') && takenBytes > this.#takenBytes) this.#sinceMs = nowMs
    this.#takenBytes = takenBytes
    if (this.#stage === 'unread' && writableLength <= this.#account.fairBytes) this.#changeStage('idle')
    return this.#stage !== 'idle'
  }

  /** Names those whose part of the account the connection shares. */
  setParty (party: string): void {
    if (this.#released) return
    this.#removeFromParty()
    this.#party = this.#account.findParty(party)
    this.#party.connections += 1
    this.#party.bytes += this.bytes
  }

  /** Whether a request that the connection holds runs. */
  isAdmitted (): boolean {
    return isRequestAdmitted(this.#account.limits, this.#account.bytes, this.bytes, this.#party?.bytes ?? this.bytes)
  }

  /** Changes what the session keeps for as long as it lasts; returns false, without a change, where there is no room for more. */
  setStateBytes (bytes: number): boolean {
    if (this.#released && bytes > 0) return false
    if (!this.#account.changeState(bytes - this.#stateBytes, bytes)) return false
    this.#stateBytes = bytes
    return true
  }

  /** Whether the process has room for what the connection holds. */
  hasRoom (): boolean {
    return this.#account.hasRoomFor(this.bytes)
  }

  /** Whether to read on while a request of the connection runs; `aheadBytes` were read beyond it. */
  isReadAhead (aheadBytes: number): boolean {
    return this.#account.isReadAheadOf(aheadBytes)
  }

  /** Calls back once there is room again. */
  awaitRoom (resume: () => void): void {
    this.#account.awaitRoom(this, resume)
  }

  /** Counts a request that was refused because the process has no room for it. */
  countRefused (): void {
    this.#account.countRefused()
  }

  /** Ends the connection at once. */
  close (): void {
    this.#socket.destroy()
  }

  /** Releases all bytes of a connection that has ended. */
  release (): void {
    this.#setBytes(0, 0)
    this.#released = true
    this.setStateBytes(0)
    this.#removeFromParty()
  }

  #removeFromParty (): void {
    const party = this.#party
    if (party === undefined) return
    this.#party = undefined
    party.connections -= 1
    party.bytes -= this.bytes
    if (party.connections === 0) this.#account.removeParty(party.name)
  }

  #setBytes (readBytes: number, unreadBytes: number): void {
    if (this.#released) return
    const change = readBytes + unreadBytes - this.bytes
    this.#readBytes = readBytes
    this.#unreadBytes = unreadBytes
    if (change === 0) return
    if (this.#party !== undefined) this.#party.bytes += change
    this.#account.addBytes(change)
  }

  #changeStage (stage: Stage): void {
    if (this.#released || stage === this.#stage) return
    this.#stage = stage
    this.#sinceMs = performance.now()
    if (stage !== 'idle') this.#account.addWaiting(this)
  }
}

/** Counts bytes and connections, and asks for decisions near the limits alone. */
export class MemoryAccount extends Adapter {
  readonly name = 'connection'
  readonly limits: MemoryLimits
  /** What each connection may hold if all of them hold as much. */
  readonly fairBytes: number
  readonly #post: HostPost
  readonly #shares = new Map<number, ConnectionShare>()
  /** Connections that may have left the idle stage since the last measurement. */
  readonly #waiting = new Set<ConnectionShare>()
  readonly #parties = new Map<string, Party>()
  readonly #paused = new Map<ConnectionShare, () => void>()
  readonly #measuring: NodeJS.Timeout
  #counts: LimitCounts = NO_COUNTS
  #bytes = 0
  #stateBytes = 0
  #opened = 0
  #measureIsDue = false
  #resuming: NodeJS.Timeout | undefined

  private constructor (limits: MemoryLimits, post: HostPost) {
    super()
    this.limits = limits
    this.fairBytes = calculateFairBytes(limits)
    this.#post = post
    this.#measuring = setInterval(() => this.#observeWaiting(), MEASURE_INTERVAL_MS).unref()
  }

  /**
   * Creates the account of a process.
   * @example MemoryAccount.create(calculateLimits(settings.limits, readMachine()), loop.post)
   */
  static create (limits: MemoryLimits, post: HostPost): MemoryAccount {
    return new MemoryAccount(limits, post)
  }

  /** Bytes of all connections. */
  get bytes (): number {
    return this.#bytes
  }

  /** The number of open connections. */
  get connections (): number {
    return this.#shares.size
  }

  execute (effect: CloseConnection): void {
    const share = this.#shares.get(effect.connection)
    // It may have gone on since it was measured.
    if (share !== undefined && share.use.stage !== 'idle') share.close()
  }

  /** Takes a connection that was just accepted into the account; undefined when all are in use, and the connection was closed. */
  open (socket: Socket, kind: ConnectionKind): ConnectionShare | undefined {
    if (!isAccepted(this.limits, this.#shares.size, kind) && !this.#replaceOne()) {
      this.#counts = { ...this.#counts, refusedConnections: this.#counts.refusedConnections + 1 }
      socket.on('error', () => undefined)
      setImmediate(() => socket.destroy())
      return undefined
    }
    this.#opened += 1
    const share = ConnectionShare.create(this, socket, kind, this.#opened)
    this.#shares.set(share.number, share)
    this.#waiting.add(share)
    socket.once('close', () => this.#removeShare(share))
    return share
  }

  /** Adds to the bytes of the process; releases have a negative sign. */
  addBytes (change: number): void {
    this.#bytes += change
    if (this.#bytes > this.limits.heldBytes) this.#scheduleObservation()
    else if (this.#paused.size > 0) this.#scheduleResumption()
  }

  /** Changes the bytes of the state of all sessions; returns false, without a change, where there is no room for more. */
  changeState (change: number, sessionBytes: number): boolean {
    if (change > 0 && !isStateAdmitted(this.limits, this.#stateBytes + change, sessionBytes)) {
      this.countRefused()
      return false
    }
    this.#stateBytes += change
    return true
  }

  /** Watches a connection that left the idle stage. */
  addWaiting (share: ConnectionShare): void {
    this.#waiting.add(share)
  }

  /** Returns those whose part of the account some connections share. */
  findParty (name: string): Party {
    const known = this.#parties.get(name)
    if (known !== undefined) return known
    const party: Party = { name, connections: 0, bytes: 0 }
    this.#parties.set(name, party)
    return party
  }

  /** Removes those who have no connection left. */
  removeParty (name: string): void {
    this.#parties.delete(name)
  }

  /** Whether the process has room for what a connection or a request holds. */
  hasRoomFor (bytes: number): boolean {
    return hasRoom(this.limits, this.#bytes, bytes)
  }

  /** Whether a connection is read further while a request of it runs. */
  isReadAheadOf (aheadBytes: number): boolean {
    return isReadAhead(this.limits, this.#bytes, aheadBytes)
  }

  /** Calls back once there is room again. */
  awaitRoom (share: ConnectionShare, resume: () => void): void {
    if (!this.#shares.has(share.number)) return
    if (!this.#paused.has(share)) this.#counts = { ...this.#counts, pauses: this.#counts.pauses + 1 }
    this.#paused.set(share, resume)
    this.#scheduleResumption()
  }

  /** Counts a request that was refused because the process has no room for it. */
  countRefused (): void {
    this.#counts = { ...this.#counts, refusedRequests: this.#counts.refusedRequests + 1 }
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    clearInterval(this.#measuring)
    clearTimeout(this.#resuming)
  }

  #removeShare (share: ConnectionShare): void {
    if (!this.#shares.delete(share.number)) return
    this.#waiting.delete(share)
    this.#paused.delete(share)
    share.release()
  }

  #replaceOne (): boolean {
    const nowMs = performance.now()
    const replaced = chooseReplaced([...this.#waiting].filter(share => share.observe(nowMs)).map(share => share.use))
    if (replaced === undefined) return false
    const share = this.#shares.get(replaced.connection)!
    this.#removeShare(share)
    share.close()
    this.#counts = { ...this.#counts, replacedConnections: this.#counts.replacedConnections + 1 }
    return true
  }

  #scheduleResumption (): void {
    this.#resuming ??= setTimeout(() => {
      this.#resuming = undefined
      if (this.#bytes < this.limits.heldBytes * RESUME_FRACTION) this.#resumeAll()
      else if (this.#paused.size > 0) this.#scheduleResumption()
    }, RESUME_DELAY_MS)
  }

  #resumeAll (): void {
    const paused = [...this.#paused.values()]
    this.#paused.clear()
    for (const resume of paused) resume()
  }

  #scheduleObservation (): void {
    if (this.#measureIsDue) return
    this.#measureIsDue = true
    setImmediate(() => this.#observeWaiting())
  }

  #observeWaiting (): void {
    this.#measureIsDue = false
    const atMs = performance.now()
    for (const share of this.#waiting) if (!share.observe(atMs)) this.#waiting.delete(share)
    const counts = this.#counts
    if (this.#waiting.size === 0 && counts === NO_COUNTS) return
    this.#counts = NO_COUNTS
    this.#post({ kind: 'memory/measured', atMs, bytes: this.#bytes, connections: this.#shares.size, waiting: [...this.#waiting].map(share => share.use), counts })
  }
}
