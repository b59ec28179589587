/** A group of stand-in databases of the platform: a primary with a log, and replicas that follow it with a lag. */

/** One write of a commit; all writes of a commit have the same number. */
export interface CommittedWrite {
  readonly term: number
  readonly commitNumber: number
  readonly item: string
  readonly data: string
}

/** One database of the group with its copy of the log. */
export interface GroupMember {
  readonly id: string
  log: readonly CommittedWrite[]
  /** False while the replica receives no log entries. */
  replicating: boolean
  /** The term at which replication is paused; 0 while it is not. */
  heldTerm: number
  running: boolean
  /** The term that it knows. */
  term: number
}

/** What a group may differ in. */
export interface WireGroupOptions {
  /** The number of replicas that have to receive a commit before it is acknowledged. */
  readonly syncReplicas?: number
  /** The time from a promotion call until the database leads, in milliseconds; at once when absent. */
  readonly promotionMs?: number
  /** Called before a database leads, with its log. */
  readonly onPromoted?: (member: GroupMember) => void
}

/** A commit that waits for its copies. */
interface WaitingCommit {
  readonly primary: GroupMember
  readonly term: number
  readonly commitNumber: number
  readonly resolve: (acknowledged: boolean) => void
}

/** The delay until a commit reaches the replicas. */
const REPLICATION_LAG_MS = 8

/** The state that the databases of one service share. */
export class WireGroup {
  readonly service: string
  readonly members = new Map<string, GroupMember>()
  /** The fencing tokens of accepted promotions, in order. */
  readonly fencingTokens: number[] = []
  readonly #options: WireGroupOptions
  readonly #waiting = new Set<WaitingCommit>()
  #primary = ''
  #term = 1

  private constructor (service: string, options: WireGroupOptions) {
    this.service = service
    this.#options = options
  }

  /**
   * Creates an empty group.
   * @example WireGroup.create('rota')
   */
  static create (service: string, options: WireGroupOptions = {}): WireGroup {
    return new WireGroup(service, options)
  }

  get primary (): string {
    return this.#primary
  }

  get term (): number {
    return this.#term
  }

  /** Adds a database, with the log of the one whose place it takes; the first one becomes the primary. */
  addMember (id: string, log: readonly CommittedWrite[] = []): GroupMember {
    const member: GroupMember = { id, log, replicating: true, heldTerm: 0, running: true, term: log.at(-1)?.term ?? this.#term }
    this.members.set(id, member)
    if (this.#primary === '') this.#primary = id
    return member
  }

  /** Removes a database that has ended for good. */
  removeMember (id: string): void {
    this.members.delete(id)
    this.#checkWaiting()
  }

  /** Pauses replication at a term above that of the group, or resumes it at 0; a primary is not paused. */
  setHeldTerm (id: string, heldTerm: number): void {
    const member = this.members.get(id)!
    if (heldTerm > 0 && (heldTerm <= this.#term || id === this.#primary)) return
    member.heldTerm = heldTerm
    this.#replicateLog()
  }

  /**
   * Appends the writes of one commit to the primary's log; replicas receive them after the replication lag. Returns undefined, or
   * what resolves once the copies are there: false if the primary was lost before.
   */
  appendCommit (id: string, writes: ReadonlyArray<readonly [item: string, data: string]>): Promise<boolean> | undefined {
    const primary = this.members.get(id)!
    const commitNumber = (primary.log[primary.log.length - 1]?.commitNumber ?? 0) + 1
    primary.log = [...primary.log, ...writes.map(([item, data]) => ({ term: this.#term, commitNumber, item, data }))]
    setTimeout(() => this.#replicateLog(), REPLICATION_LAG_MS)
    if ((this.#options.syncReplicas ?? 0) === 0) return undefined
    return new Promise(resolve => this.#waiting.add({ primary, term: this.#term, commitNumber, resolve }))
  }

  /** Tells what waits for a primary that it is lost, once it has stopped. */
  checkPrimary (): void {
    this.#checkWaiting()
  }

  /**
   * Accepts the promotion of a database and returns true. Returns false when the database is not running
   * or when a higher fencing token was seen.
   */
  promote (id: string, fencingToken: number): boolean {
    if (this.members.get(id)?.running !== true || fencingToken < Math.max(0, ...this.fencingTokens)) return false
    this.fencingTokens.push(fencingToken)
    if (id === this.#primary) return true
    const { promotionMs } = this.#options
    if (promotionMs === undefined) this.#lead(id)
    else setTimeout(() => this.#lead(id), promotionMs)
    return true
  }

  // What was accepted is carried out, also behind a later call. Those that receive nothing follow once they do.
  #lead (id: string): void {
    const member = this.members.get(id)
    if (member?.running !== true || id === this.#primary) return
    this.#options.onPromoted?.(member)
    this.#primary = id
    this.#term += 1
    member.term = this.#term
    for (const other of this.members.values()) if (other.running) other.heldTerm = 0
    this.#replicateLog()
    this.#checkWaiting()
  }

  #replicateLog (): void {
    const primary = this.members.get(this.#primary)
    if (primary?.running !== true) return
    for (const member of this.members.values()) {
      if (member.replicating && member.heldTerm === 0 && member.running) Object.assign(member, { log: primary.log, term: this.#term })
    }
    this.#checkWaiting()
  }

  #checkWaiting (): void {
    for (const waiting of this.#waiting) {
      const { primary, term, commitNumber, resolve } = waiting
      const isLost = this.#primary !== primary.id || this.#term !== term || !primary.running
      if (!isLost && this.#countCopies(primary, commitNumber) < this.#options.syncReplicas!) continue
      this.#waiting.delete(waiting)
      resolve(!isLost)
    }
  }

  #countCopies (primary: GroupMember, commitNumber: number): number {
    return [...this.members.values()].filter(member => member !== primary && member.running && (member.log.at(-1)?.commitNumber ?? 0) >= commitNumber).length
  }
}
