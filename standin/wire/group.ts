/** A group of stand-in databases of the platform: one log, one primary at a time, replicas that follow with a lag. */

/** A commit: its place in the log, and what it wrote. */
export interface Commit {
  readonly term: number
  readonly number: number
  readonly item: string
  readonly data: string
}

/** One database's copy of the log. */
export interface Member {
  readonly id: string
  log: readonly Commit[]
  /** False while the database receives nothing. */
  receives: boolean
  running: boolean
}

/** How long a commit takes to reach a replica. */
const LAG_MS = 8

/** Keeps what the databases of one service share. */
export class WireGroup {
  readonly service: string
  readonly members = new Map<string, Member>()
  /** The fences that promotions came with, in order. */
  readonly fences: number[] = []
  #primary = ''
  #term = 1

  private constructor (service: string) {
    this.service = service
  }

  /**
   * Creates a group without databases.
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

  /** Adds a database; the first one is primary. */
  addMember (id: string): Member {
    const member: Member = { id, log: [], receives: true, running: true }
    this.members.set(id, member)
    if (this.#primary === '') this.#primary = id
    return member
  }

  /** Appends commits at the primary; replicas get them a moment later. */
  appendCommits (id: string, writes: ReadonlyArray<readonly [item: string, data: string]>): void {
    const primary = this.members.get(id)!
    const number = (primary.log[primary.log.length - 1]?.number ?? 0) + 1
    primary.log = [...primary.log, ...writes.map(([item, data]) => ({ term: this.#term, number, item, data }))]
    setTimeout(() => this.#copyLog(), LAG_MS)
  }

  /** Makes a database primary, unless its fence is older than one that was seen. */
  promote (id: string, fence: number): boolean {
    const member = this.members.get(id)
    if (member?.running !== true || fence < Math.max(0, ...this.fences)) return false
    this.fences.push(fence)
    if (id === this.#primary) return true
    this.#primary = id
    this.#term += 1
    for (const other of this.members.values()) other.log = member.log
    return true
  }

  #copyLog (): void {
    const primary = this.members.get(this.#primary)
    if (primary === undefined) return
    for (const member of this.members.values()) {
      if (member.receives && member.running) member.log = primary.log
    }
  }
}
