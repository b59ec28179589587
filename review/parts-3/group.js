/** A group of stand-in databases: a primary, its replicas, and what a promotion does to them. */

/** How long a commit takes to a replica, and a promotion until the database leads. */
const RECEIVE_MS = 5
const PROMOTE_MS = 300

/** The databases of one service. */
export class Group {
  service
  /** The number of replicas that have to receive a commit before it is acknowledged. */
  syncReplicas
  term = 1
  primary
  databases = new Set()
  /** What was promoted: the database, the time, and its log at that moment. */
  promotions = []
  /** The identifiers of the commits that the databases acknowledged, with their terms. */
  acknowledged = new Map()
  /** Called for each statement that runs. */
  onRun = () => undefined
  #record
  #highestFence = 0
  #waiting = new Set()

  constructor (service, syncReplicas, record) {
    this.service = service
    this.syncReplicas = syncReplicas
    this.#record = record
  }

  static create (service, syncReplicas, record) {
    return new Group(service, syncReplicas, record)
  }

  addDatabase (database) {
    this.databases.add(database)
    // A transferred log has its own term until the database receives from its primary.
    database.term = database.log.at(-1)?.term ?? this.term
    this.primary ??= database
  }

  removeDatabase (database) {
    this.databases.delete(database)
  }

  /** Appends a commit at the primary; false if that lost its role before the commit was acknowledged. */
  async appendCommit (primary, id, writes) {
    const { term } = this
    const number = primary.log.length + 1
    primary.log = [...primary.log, { id, term, number, writes }]
    const reached = new Promise(resolve => {
      const checkCopies = () => {
        if (this.primary !== primary || this.term !== term || !primary.running) resolve(false)
        else if (this.#countCopies(primary, number) >= this.syncReplicas) resolve(true)
        else return
        this.#waiting.delete(checkCopies)
      }
      this.#waiting.add(checkCopies)
      checkCopies()
    })
    for (const database of this.databases) setTimeout(() => this.replicate(database), RECEIVE_MS)
    const acknowledged = await reached
    if (acknowledged) this.acknowledged.set(id, { term, number })
    return acknowledged
  }

  /** Gives a replica what its primary holds, unless nothing reaches it. */
  replicate (database) {
    const { primary } = this
    const isCut = database === primary || database.deaf || database.heldTerm > 0 || !database.running || primary?.running !== true
    if (isCut) return
    database.log = primary.log
    database.term = this.term
    this.#checkWaiting()
  }

  /** Handles a call to the platform: 200 or 409. The promotion takes effect some hundred milliseconds later. */
  promote (id, fence, holder) {
    const database = [...this.databases].find(other => other.id === id)
    const refused = database?.running !== true || fence < this.#highestFence
    this.#record.add('promotion-called', { id, fence, holder, refused, position: database?.readPosition() })
    if (refused) return 409
    this.#highestFence = fence
    if (database !== this.primary) setTimeout(() => this.#completePromotion(database), PROMOTE_MS)
    return 200
  }

  #completePromotion (database) {
    if (database === this.primary || !database.running) return
    const former = this.primary
    this.primary = database
    this.term += 1
    database.term = this.term
    database.heldTerm = 0
    const held = new Set(database.log.map(commit => commit.id))
    const dropped = former.log.map(commit => commit.id).filter(id => !held.has(id))
    this.promotions.push({ id: database.id, atMs: this.#record.readMs(), held, dropped })
    this.#record.add('promoted', { id: database.id, position: database.readPosition() })
    for (const other of this.databases) {
      if (other === database) continue
      // Replicas that were ahead are rolled back.
      other.log = other.log.filter((commit, index) => database.log[index] === commit)
      if (!other.deaf) other.heldTerm = 0
      this.replicate(other)
    }
    this.#checkWaiting()
  }

  #countCopies (primary, number) {
    return [...this.databases].filter(other => other !== primary && other.running && other.log.length >= number).length
  }

  #checkWaiting () {
    for (const checkCopies of [...this.#waiting]) checkCopies()
  }

  /** Ends the waits of a primary that has crashed. */
  checkPrimary () {
    this.#checkWaiting()
  }
}
