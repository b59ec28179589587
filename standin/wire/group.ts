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
}

/** The delay until a commit reaches the replicas. */
const REPLICATION_LAG_MS = 8

/** The state that the databases of one service share. */
export class WireGroup {
  readonly service: string
  readonly members = new Map<string, GroupMember>()
  /** The fencing tokens of accepted promotions, in order. */
  readonly fencingTokens: number[] = []
  #primary = ''
  #term = 1

  private constructor (service: string) {
    this.service = service
  }

  /**
   * Creates an empty group.
   * @example WireGroup.create('rota')
   */
  static create (service: string): WireGroup {
    return new WireGroup(service)
  }

  get primary (): string {
    return this.#primary
  }

  get term (): number {
    return this.#term
  }

  /** Adds a database; the first one becomes the primary. */
  addMember (id: string): GroupMember {
    const member: GroupMember = { id, log: [], replicating: true, heldTerm: 0, running: true }
    this.members.set(id, member)
    if (this.#primary === '') this.#primary = id
    return member
  }

  /** Pauses replication at a term above that of the group, or resumes it at 0; a primary is not paused. */
  setHeldTerm (id: string, heldTerm: number): void {
    const member = this.members.get(id)!
    if (heldTerm > 0 && (heldTerm <= this.#term || id === this.#primary)) return
    member.heldTerm = heldTerm
    this.#replicateLog()
  }

  /** Appends the writes of one commit to the primary's log; replicas receive them after the replication lag. */
  appendCommit (id: string, writes: ReadonlyArray<readonly [item: string, data: string]>): void {
    const primary = this.members.get(id)!
    const commitNumber = (primary.log[primary.log.length - 1]?.commitNumber ?? 0) + 1
    primary.log = [...primary.log, ...writes.map(([item, data]) => ({ term: this.#term, commitNumber, item, data }))]
    setTimeout(() => this.#replicateLog(), REPLICATION_LAG_MS)
  }

  /**
   * Promotes a database to primary and returns true. Returns false when the database is not running
   * or when a higher fencing token was seen.
   */
  promote (id: string, fencingToken: number): boolean {
    const member = this.members.get(id)
    if (member?.running !== true || fencingToken < Math.max(0, ...this.fencingTokens)) return false
    this.fencingTokens.push(fencingToken)
    if (id === this.#primary) return true
    this.#primary = id
    this.#term += 1
    for (const other of this.members.values()) Object.assign(other, { log: member.log, heldTerm: 0 })
    return true
  }

  #replicateLog (): void {
    const primary = this.members.get(this.#primary)
    if (primary === undefined) return
    for (const member of this.members.values()) {
      if (member.replicating && member.heldTerm === 0 && member.running) member.log = primary.log
    }
  }
}
