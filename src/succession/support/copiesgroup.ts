/** A simulated group of databases whose writes are acknowledged by a replica's copy, as the platform's pages describe them. */

/** One commit in a log. */
export interface Commit {
  readonly name: string
  readonly term: number
}

/** A database with its copy of the log. */
export interface Member {
  readonly name: string
  readonly address: string
  log: readonly Commit[]
  /** The term of the primary that it follows or is. */
  term: number
  paused: boolean
  /** False while it has no power; its log outlasts that. */
  running: boolean
  /** True while neither hosts nor the leader reach it; it still receives. */
  cut: boolean
  /** True while nothing reaches it from its primary. */
  deaf: boolean
}

/** The parts that a group gets from its simulation. */
export interface CopiesGroupParts {
  readonly random: () => number
  readonly schedule: (afterMs: number, run: () => void) => void
  /** Called before a database leads, with its log. */
  readonly onPromoted: (member: Member) => void
}

/** Delay of a copy, and of one in ten that is slow. */
const MAX_LAG_MS = 20
const MAX_SLOW_LAG_MS = 300
const MAX_WORK_MS = 10
const PROMOTION_MS = 400

/** Databases of which a commit needs one replica's copy. */
export class CopiesGroup {
  readonly members = new Map<string, Member>()
  primary = ''
  term = 1
  #highestFence = 0
  readonly #parts: CopiesGroupParts

  private constructor (parts: CopiesGroupParts) {
    this.#parts = parts
  }

  /**
   * Creates an empty group.
   * @example CopiesGroup.create(parts).members.size // 0
   */
  static create (parts: CopiesGroupParts): CopiesGroup {
    return new CopiesGroup(parts)
  }

  /** Adds a database with what the primary holds; the first one leads. */
  addMember (name: string): void {
    this.#add(name, name, this.members.get(this.primary)?.log ?? [])
    if (this.primary === '') this.primary = name
  }

  /** Ends a database as planned: its log is transferred to another one at its address. */
  removeMember (name: string): Member {
    const member = this.members.get(name)!
    member.running = false
    this.members.delete(name)
    return member
  }

  /** Adds a database at the address of one that ended, with its log. */
  replaceMember ({ address, log }: Member, name: string): void {
    this.#add(name, address, log)
    this.#replicate(this.members.get(this.primary), this.members.get(name)!)
  }

  /** Appends a commit; the callback gets its number once a replica holds it, and undefined if the database does not lead. */
  commit (name: string, commit: string, onAnswered: (offset: number | undefined) => void): void {
    this.#parts.schedule(this.#parts.random() * MAX_WORK_MS, () => {
      const member = this.members.get(name)
      if (member?.running !== true) return
      if (this.primary !== name) return onAnswered(undefined)
      member.log = [...member.log, { name: commit, term: this.term }]
      this.#replicateAll(member, member.log.length, onAnswered)
    })
  }

  stopReceiving (name: string, term: number): void {
    const member = this.members.get(name)!
    if (term > this.term && name !== this.primary) member.paused = true
  }

  resume (name: string): void {
    const member = this.members.get(name)!
    member.paused = false
    this.#replicate(this.members.get(this.primary), member)
  }

  /** Starts a database again: it keeps its log, and receives. */
  restart (name: string): void {
    const member = this.members.get(name)!
    member.running = true
    member.paused = false
    if (name !== this.primary) this.#replicate(this.members.get(this.primary), member)
  }

  /** Handles a promotion call. */
  promote (name: string, fence: number): 'done' | 'refused' {
    if (fence < this.#highestFence || this.members.get(name)?.running !== true) return 'refused'
    this.#highestFence = fence
    if (name !== this.primary) this.#parts.schedule(PROMOTION_MS, () => this.#lead(name))
    return 'done'
  }

  // A transferred log has the term of its last commit until the database receives.
  #add (name: string, address: string, log: readonly Commit[]): void {
    this.members.set(name, { name, address, log, term: log.at(-1)?.term ?? this.term, paused: false, running: true, cut: false, deaf: false })
  }

  #replicateAll (from: Member, offset: number, onAnswered: (offset: number) => void): void {
    const { term } = this
    let isAnswered = false
    for (const to of this.members.values()) {
      if (to === from) continue
      this.#parts.schedule(this.#drawLagMs(), () => {
        if (this.term !== term) return
        this.#replicate(from, to)
        if (isAnswered || to.log.length < offset || !from.running) return
        isAnswered = true
        onAnswered(offset)
      })
    }
  }

  #drawLagMs (): number {
    const { random } = this.#parts
    return random() * (random() < 0.1 ? MAX_SLOW_LAG_MS : MAX_LAG_MS)
  }

  #replicate (from: Member | undefined, to: Member): void {
    if (from?.running === true && to.running && !to.paused && !to.deaf) Object.assign(to, { log: from.log, term: this.term })
  }

  // What was accepted is carried out, also behind a later call.
  #lead (name: string): void {
    const member = this.members.get(name)
    if (member?.running !== true || name === this.primary) return
    this.#parts.onPromoted(member)
    this.term += 1
    this.primary = name
    for (const other of this.members.values()) if (other.running) this.#follow(member, other)
    member.term = this.term
  }

  // Replicas that were ahead are rolled back. One that nothing reaches may know the new term before it has received its log; one
  // that is down knows nothing of it.
  #follow (primary: Member, other: Member): void {
    if (!other.deaf) Object.assign(other, { paused: false, log: primary.log })
    other.log = other.log.filter((commit, index) => primary.log[index]?.name === commit.name)
    other.term = this.term
  }
}
