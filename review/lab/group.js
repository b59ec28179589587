/** A service of stand-in databases: one primary, replicas that receive its log over the network, and promotion by the platform. */

/**
 * One database's copy of the log. `receives` is false behind a partition from the primary, `paused` after PAUSE.
 * @typedef {{ id: string, log: object[], term: number, paused: boolean, receives: boolean, running: boolean, lagMs: number }} Member
 */

/** The state that the databases of one service share. */
export class Group {
  /** Commits that wait for a replica's copy, by number. */
  #waiting = new Map()
  #fence = 0

  constructor ({ service, syncReplicas = 0, promoteMs = 600, onEvent = () => undefined }) {
    this.service = service
    this.syncReplicas = syncReplicas
    this.promoteMs = promoteMs
    this.onEvent = onEvent
    this.members = new Map()
    this.primary = undefined
    this.term = 1
    /** The commits that the databases acknowledged to their own callers. */
    this.acknowledged = []
  }

  addMember (id, lagMs = 8) {
    const first = this.members.size === 0
    const source = first ? undefined : this.members.get(this.primary)
    const member = { id, log: source === undefined ? [] : [...source.log], term: this.term, paused: false, receives: true, running: true, lagMs }
    this.members.set(id, member)
    if (first) this.primary = id
    return member
  }

  isPrimary (member) {
    return this.primary === member.id && member.running
  }

  /** Appends a commit to the primary's log; the callback runs once it is acknowledged, with undefined if the lead was lost before. */
  appendCommit (member, writes, onAcknowledged) {
    const entry = { number: member.log.length + 1, term: this.term, writes }
    member.log.push(entry)
    const settle = holder => {
      if (!this.#waiting.delete(entry)) return
      if (holder !== undefined) this.acknowledged.push({ ...entry, holder, atMs: Date.now() })
      onAcknowledged(holder === undefined ? undefined : entry)
    }
    this.#waiting.set(entry, settle)
    for (const other of this.members.values()) {
      if (other !== member) setTimeout(() => this.#replicate(member, other), other.lagMs)
    }
    if (this.syncReplicas === 0) settle('primary')
  }

  // A replica receives in order all that the primary holds, unless it is paused, cut off or down.
  #replicate (from, to) {
    if (this.primary !== from.id || !from.running || !to.running || to.paused || !to.receives) return
    for (let index = to.log.length; index < from.log.length; index++) {
      const entry = from.log[index]
      to.log.push(entry)
      this.#waiting.get(entry)?.(to.id)
    }
  }

  /** Lets a replica that may receive again catch up. */
  resume (member) {
    member.paused = false
    const from = this.members.get(this.primary)
    if (from !== undefined && from !== member) setTimeout(() => this.#replicate(from, member), member.lagMs)
  }

  /** Handles a call of POST /promotion; returns the HTTP status. */
  promote (id, fence) {
    const member = this.members.get(id)
    if (fence < this.#fence || member?.running !== true) return 409
    this.#fence = fence
    if (id === this.primary) return 200
    setTimeout(() => this.#lead(member), this.promoteMs)
    return 200
  }

  // The new primary leads with what it had received; replicas that were ahead are rolled back.
  #lead (member) {
    if (!member.running || this.primary === member.id) return
    const former = this.primary
    this.term += 1
    this.primary = member.id
    const missing = this.acknowledged.filter(entry => !member.log.includes(entry) && !member.log.some(held => held.number === entry.number && held.term === entry.term))
    this.onEvent({ event: 'promoted', id: member.id, former, term: this.term, position: member.log.length, acknowledgedButMissing: missing })
    for (const [, settle] of [...this.#waiting]) settle(undefined)
    for (const other of this.members.values()) {
      other.paused = false
      other.term = this.term
      if (other !== member && other.running && other.receives) other.log = [...member.log]
    }
  }
}
