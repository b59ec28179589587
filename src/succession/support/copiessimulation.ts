/**
 * Simulates changes of the primary of a group whose writes are acknowledged by a replica's copy: leaders and owners decide by
 * the product's own decisions, over links and databases that fail. Checks with each promotion that the new primary holds what was
 * acknowledged to callers, and at the end that writes are served.
 */
import { expect } from 'chai'
import { createRandom } from '../../../test/support/stepqueue.js'
import type { Effect, SendPeer, SetTimer, Tell } from '../../core/message.js'
import { ORIGIN } from '../../core/position.js'
import { StoreSlice } from '../../core/store.js'
import type { FenceReplica, ReadPosition } from '../../databases/driver.js'
import { nameProcess, type DatabaseEntry, type DatabaseStatus, type GrantEntry, type WriteReport } from '../../membership/directory.js'
import { decideTransactions } from '../../transactions/decide.js'
import type { TransactionsMessage } from '../../transactions/messages.js'
import { createTransactionsShared } from '../../transactions/state.js'
import { decideSuccession } from '../decide.js'
import type { SuccessionMessage } from '../messages.js'
import { createSuccessionState, type AppointPrimary } from '../state.js'
import { CopiesGroup, type Member } from './copiesgroup.js'
import { TestLog, type ProposedCommand } from './testlog.js'

const STEP_MS = 5
const CHECK_MS = 50
const HEARTBEAT_MS = 100
const FAULTS_MS = 30_000
/** The time that the platform allows for recovery. */
const RECOVERY_MS = 12_000
const SERVED_MS = 1_000
const MAX_FAULT_MS = 6_000
const HOSTS = 3
const MAX_MEMBERS = 6
const CALL_TIMEOUT_MS = 1_000
const MAX_LATE_CALL_MS = 4_000
const ELECTION_MS = 900
/** How long a database stays in the directory, and so in the stored list, after the last report of it. */
const EVICTED_AFTER_MS = 1_000
const MAX_DRAIN_MS = 4_000
const REPLACED_AFTER_MS = 2_000
const GUARANTEES = { selfFencing: true, slotPerStatement: true, connectionPerWorkspace: false }

interface Leader {
  readonly epoch: number
  state: ReturnType<typeof createSuccessionState>
  grant: GrantEntry | undefined
  revision: number
  endsAtMs: number
}

interface Owner {
  readonly name: string
  process: number
  round: number
  slice: ReturnType<typeof createSlice>
  writes: ReadonlyMap<string, WriteReport>
  grant: GrantEntry | undefined
  epoch: number
  revision: number
  frozenUntilMs: number
  cutUntilMs: number
}

const createSlice = () => StoreSlice.create({ name: 'transactions', shared: createTransactionsShared(20, 5_000, GUARANTEES), decide: decideTransactions })
const createOwner = (index: number): Owner => ({ name: `host-${index}`, process: 0, round: 0, slice: createSlice(), writes: new Map(), grant: undefined, epoch: 0, revision: 0, frozenUntilMs: 0, cutUntilMs: 0 })

/** One seeded schedule. */
export class CopiesSimulation {
  promotions = 0
  acknowledged = 0
  readonly #random: () => number
  readonly #group: CopiesGroup
  readonly #owners = Array.from({ length: HOSTS }, (_, index) => createOwner(index))
  readonly #departing = new Set<string>()
  readonly #withdrawn = new Set<string>()
  /** The last report of each database to a leader. */
  readonly #reported = new Map<string, { readonly entry: DatabaseEntry, readonly atMs: number }>()
  /** A database that is lost for good. */
  #lost: string | undefined
  readonly #acknowledgedCommits = new Set<string>()
  readonly #log = TestLog.create()
  readonly #timers = new Map<string, number>()
  #scheduled: Array<{ readonly atMs: number, readonly run: () => void }> = []
  #leaders: Leader[] = []
  #nowMs = 0
  #commits = 0
  #names = 0
  #hasFaults = true
  #platformDownUntilMs = 0
  #lastAcknowledgedAtMs = 0

  private constructor (seed: number) {
    this.#random = createRandom(seed)
    this.#group = CopiesGroup.create({ random: this.#random, schedule: (afterMs, run) => this.#schedule(afterMs, run), onPromoted: member => this.#checkPromoted(member) })
    for (let index = 0; index < HOSTS; index++) this.#group.addMember(this.#createName())
    this.#lead()
  }

  /**
   * Creates a simulation.
   * @example CopiesSimulation.create(1).run()
   */
  static create (seed: number): CopiesSimulation {
    return new CopiesSimulation(seed)
  }

  run (): void {
    for (; this.#nowMs < FAULTS_MS + RECOVERY_MS + SERVED_MS; this.#nowMs += STEP_MS) {
      if (this.#hasFaults && this.#nowMs >= FAULTS_MS) this.#endFaults()
      if (this.#nowMs % CHECK_MS === 0) this.#check()
      const due = this.#scheduled.filter(({ atMs }) => atMs <= this.#nowMs)
      this.#scheduled = this.#scheduled.filter(({ atMs }) => atMs > this.#nowMs)
      for (const { run } of due) run()
      for (const owner of this.#owners) if (this.#random() < 0.1) this.#write(owner)
    }
    expect(this.#nowMs - this.#lastAcknowledgedAtMs, `ms without an acknowledged write after recovery, with ${this.#describe()}`).to.be.below(SERVED_MS)
  }

  #describe (): string {
    const { state, grant } = this.#leaders.at(-1)!
    const databases = [...this.#group.members.values()].map(({ name, running, term, log }) => `${name} ${running ? 'at' : 'down at'} ${term}.${log.length}`)
    const members = [...state.members.values()].map(({ entry, ended }) => `${entry.database}${ended === undefined ? '' : ` ${ended.end}`}`)
    return `${databases.join(', ')} (primary ${this.#group.primary}), members ${members.join(', ')}, grant ${grant?.primary} ${grant?.closing === true ? 'closing' : ''}`
  }

  #schedule (afterMs: number, run: () => void): void {
    this.#scheduled.push({ atMs: this.#nowMs + afterMs, run })
  }

  #check (): void {
    if (this.#hasFaults) this.#drawFault()
    for (const leader of this.#leaders) if (leader.endsAtMs > this.#nowMs) this.#decide(leader, { kind: 'succession/check-due' })
    if (this.#nowMs % HEARTBEAT_MS === 0) for (const owner of this.#owners) this.#sendHeartbeat(owner)
  }

  // Faults come in series and overlap.
  #drawFault (): void {
    if (this.#random() > 0.1) return
    const members = [...this.#group.members.values()]
    if (members.length === 0) return
    const member = members[Math.floor(this.#random() * members.length)]!
    const owner = this.#owners[Math.floor(this.#random() * HOSTS)]!
    const durationMs = this.#random() * MAX_FAULT_MS
    switch (Math.floor(this.#random() * 13)) {
      case 0: return this.#drainDatabase(this.#group.primary)
      case 1: return members.length < MAX_MEMBERS ? this.#group.addMember(this.#createName()) : undefined
      case 2: return this.#cutMember(member, durationMs)
      case 3: return this.#cutPower(member, durationMs)
      case 4: return this.#restart(member)
      case 5:
        owner.frozenUntilMs = this.#nowMs + durationMs / 2
        return
      case 6: return this.#restartOwner(owner)
      case 7:
        this.#platformDownUntilMs = this.#nowMs + durationMs
        return
      case 8: return this.#replaceLeader()
      case 9:
        owner.cutUntilMs = this.#nowMs + durationMs
        return
      case 10: return this.#holdReplica(member, durationMs)
      case 11: return this.#drainDatabase(member.name)
      case 12: return this.#loseDatabase(member)
    }
  }

  // It serves for a while, withdraws itself and ends; another one starts at its address with its log.
  #drainDatabase (name: string): void {
    if (this.#departing.has(name) || name === this.#lost || !this.#group.members.has(name)) return
    this.#departing.add(name)
    this.#schedule(this.#random() * MAX_DRAIN_MS, () => {
      if (this.#group.members.get(name)?.running !== true) return
      const member = this.#group.removeMember(name)
      this.#withdrawn.add(name)
      this.#tellLeader({ kind: 'succession/withdrawn', database: name })
      this.#schedule(REPLACED_AFTER_MS, () => this.#group.replaceMember(member, this.#createName()))
    })
  }

  #holdReplica (member: Member, durationMs: number): void {
    member.deaf = true
    this.#schedule(durationMs, () => { member.deaf = false })
  }

  #loseDatabase (member: Member): void {
    if (this.#lost !== undefined || this.#departing.has(member.name)) return
    this.#lost = member.name
    member.running = false
  }

  #createName (): string {
    return `db-${this.#names++}`
  }

  #tellLeader (message: SuccessionMessage): void {
    const leader = this.#leaders.at(-1)!
    if (leader.endsAtMs > this.#nowMs) this.#decide(leader, message)
  }

  #cutMember (member: Member, durationMs: number): void {
    member.cut = true
    this.#schedule(durationMs, () => { member.cut = false })
  }

  #cutPower (member: Member, durationMs: number): void {
    member.running = false
    this.#schedule(durationMs, () => this.#restart(member))
  }

  #restart ({ name }: Member): void {
    if (name !== this.#lost && this.#group.members.has(name)) this.#group.restart(name)
  }

  #restartOwner (owner: Owner): void {
    Object.assign(owner, { ...createOwner(0), name: owner.name, process: owner.process + 1 })
  }

  // The lease of a leader ends before the next one is elected, but calls that it sent may be carried out later.
  #replaceLeader (): void {
    for (const leader of this.#leaders) leader.endsAtMs = Math.min(leader.endsAtMs, this.#nowMs)
    this.#schedule(this.#random() * ELECTION_MS, () => this.#lead())
  }

  #endFaults (): void {
    this.#hasFaults = false
    this.#platformDownUntilMs = 0
    for (const member of this.#group.members.values()) {
      Object.assign(member, { cut: false, deaf: false })
      if (!member.running) this.#restart(member)
    }
    for (const owner of this.#owners) Object.assign(owner, { frozenUntilMs: 0, cutUntilMs: 0 })
  }

  #lead (): void {
    const formerEndedAtMs = this.#leaders.at(-1)?.endsAtMs ?? 0
    for (const leader of this.#leaders) leader.endsAtMs = Math.min(leader.endsAtMs, this.#nowMs)
    const known = [...this.#reported.values()].filter(({ entry, atMs }) => formerEndedAtMs - atMs <= EVICTED_AFTER_MS && !this.#withdrawn.has(entry.database)).map(({ entry }) => entry)
    const leader: Leader = { epoch: this.#leaders.length + 1, state: createSuccessionState(true), grant: undefined, revision: 0, endsAtMs: Infinity }
    this.#leaders.push(leader)
    this.#decide(leader, this.#log.lead(leader.epoch))
    this.#decide(leader, { kind: 'succession/documents', copies: new Map([['g', 1]]) })
    this.#decide(leader, { kind: 'succession/reported', host: 'control', failureDomain: 'zone-0', apart: true, statuses: [], databases: known })
    for (const database of this.#withdrawn) this.#decide(leader, { kind: 'succession/withdrawn', database })
  }

  #createEntry (name: string): DatabaseEntry {
    return { kind: 'database', database: name, group: 'g', failureDomain: `zone-${Number(name.slice(3)) % HOSTS}`, address: this.#group.members.get(name)!.address, slots: 4, connectionLimit: 40, departing: this.#departing.has(name), leads: this.#group.primary === name }
  }

  #findOwner (name: string): Owner {
    return this.#owners[Number(name.slice(3)) % HOSTS]!
  }

  #sendHeartbeat (owner: Owner): void {
    if (owner.frozenUntilMs > this.#nowMs) return
    const sentAtMs = this.#nowMs
    const { process, writes } = owner
    const round = ++owner.round
    const owned = [...this.#group.members.values()].filter(({ name }) => this.#findOwner(name) === owner)
    const statuses = owned.map((member): DatabaseStatus => ({ database: member.name, answering: member.running && !member.cut, primary: member.name === this.#group.primary && member.running, position: { term: member.term, offset: member.log.length }, fencedTerm: member.paused ? this.#group.term + 1 : 0, ageMs: 0 }))
    const databases = owned.filter(({ running, cut }) => running && !cut).map(({ name }) => this.#createEntry(name))
    const leader = this.#leaders.at(-1)!
    this.#schedule(this.#random() * 40, () => {
      if (leader.endsAtMs <= this.#nowMs || owner.cutUntilMs > this.#nowMs) return
      const present = databases.filter(({ database }) => !this.#withdrawn.has(database))
      for (const entry of present) this.#reported.set(entry.database, { entry, atMs: this.#nowMs })
      this.#decide(leader, { kind: 'succession/reported', host: owner.name, failureDomain: `zone-${this.#owners.indexOf(owner)}`, apart: false, leftAtMs: sentAtMs, statuses, databases: present, ...(writes.size === 0 ? {} : { writes: [...writes.values()], process: String(process), round }) })
      const { epoch, revision, grant } = leader
      this.#schedule(this.#random() * 40, () => this.#receiveAnswer(owner, process, { epoch, revision, grant }, sentAtMs))
    })
  }

  #receiveAnswer (owner: Owner, process: number, { epoch, revision, grant }: Pick<Leader, 'epoch' | 'revision' | 'grant'>, askedAtMs: number): void {
    if (owner.process !== process || owner.cutUntilMs > this.#nowMs) return
    if (owner.frozenUntilMs > this.#nowMs) return this.#schedule(owner.frozenUntilMs - this.#nowMs, () => this.#receiveAnswer(owner, process, { epoch, revision, grant }, askedAtMs))
    if (epoch < owner.epoch || (epoch === owner.epoch && revision < owner.revision)) return
    if (epoch !== owner.epoch || revision !== owner.revision) {
      Object.assign(owner, { epoch, revision, grant })
      const databases = [...this.#group.members.keys()].filter(name => this.#findOwner(name) === owner).map(name => ({ ...this.#createEntry(name), departing: false }))
      this.#handle(owner, { kind: 'transactions/owned-changed', databases, grants: grant === undefined ? [] : [grant], process: nameProcess(owner.name, String(process)) })
    }
    this.#handle(owner, { kind: 'transactions/contact-confirmed', askedAtMs })
  }

  #write (owner: Owner): void {
    const database = owner.grant?.primary
    if (database === undefined || this.#findOwner(database) !== owner || owner.frozenUntilMs > this.#nowMs) return
    const order = ++this.#commits
    this.#handle(owner, { kind: 'transactions/run', from: 'entry', caller: `c${order}`, attempt: 1, ticket: { sender: 'entry', order }, service: 's', target: { database, owner: owner.name, purpose: 'primary', term: owner.grant!.term, floor: ORIGIN }, intent: 'statement', writes: true, remainingMs: 800, payload: Buffer.from(`c${order}`) })
  }

  #handle (owner: Owner, message: TransactionsMessage): void {
    for (const effect of owner.slice.handle(message, { monotonicMs: this.#nowMs, wallMs: 0, random: this.#random() })) this.#executeOwner(owner, effect)
  }

  #post (owner: Owner, process: number, message: TransactionsMessage): void {
    if (owner.process !== process) return
    if (owner.frozenUntilMs > this.#nowMs) return this.#schedule(owner.frozenUntilMs - this.#nowMs, () => this.#post(owner, process, message))
    this.#handle(owner, message)
  }

  #executeOwner (owner: Owner, effect: Effect): void {
    if (effect.notAfterMs !== undefined && this.#nowMs > effect.notAfterMs) return
    const { process } = owner
    if (effect.kind === 'timer/set') return this.#setTimer(owner, effect as SetTimer<TransactionsMessage>)
    if (effect.kind === 'loop/tell') return this.#recordWrites(owner, (effect as Tell).message)
    if (effect.kind === 'peer/send') return this.#answerCaller((effect as SendPeer).message)
    const { connection, payload } = effect as Effect & { readonly connection: string, readonly payload: Uint8Array }
    const database = connection?.slice(0, connection.lastIndexOf('#'))
    if (effect.kind === 'database/open') this.#schedule(2, () => this.#post(owner, process, { kind: 'transactions/opened', connection }))
    if (effect.kind !== 'database/execute' || this.#group.members.get(database)?.cut !== false) return
    this.#group.commit(database, Buffer.from(payload).toString(), offset => {
      const position = offset === undefined ? undefined : { term: this.#group.term, offset }
      this.#post(owner, process, { kind: 'transactions/finished', connection, status: 'idle', refused: offset === undefined, position, payload })
    })
  }

  #setTimer (owner: Owner, { name, afterMs, message }: SetTimer<TransactionsMessage>): void {
    const key = `${owner.name}/${name}`
    const { process } = owner
    const id = (this.#timers.get(key) ?? 0) + 1
    this.#timers.set(key, id)
    this.#schedule(afterMs, () => { if (this.#timers.get(key) === id) this.#post(owner, process, message) })
  }

  #recordWrites (owner: Owner, message: { readonly kind: string }): void {
    if (message.kind !== 'membership/writes-changed') return
    const { kind: _, ...report } = message as WriteReport & { readonly kind: string }
    owner.writes = new Map(owner.writes).set(report.group, report)
    this.#sendHeartbeat(owner)
  }

  #answerCaller (message: { readonly kind: string }): void {
    const { kind, caller, wrote } = message as { readonly kind: string, readonly caller: string, readonly wrote?: boolean }
    if (kind !== 'requests/finished' || wrote !== true) return
    this.acknowledged += 1
    this.#lastAcknowledgedAtMs = this.#nowMs
    this.#acknowledgedCommits.add(caller)
  }

  #checkPromoted ({ name, log }: Member): void {
    this.promotions += 1
    const held = new Set(log.map(commit => commit.name))
    const lost = [...this.#acknowledgedCommits].filter(commit => !held.has(commit))
    expect(lost, `acknowledged commits that ${name} lacks as it is promoted at ${this.#nowMs} ms`).to.deep.equal([])
  }

  #decide (leader: Leader, message: SuccessionMessage): void {
    const step = decideSuccession(leader.state, message, { monotonicMs: this.#nowMs, wallMs: 0, random: this.#random() })
    leader.state = step.state
    for (const effect of step.effects) this.#executeLeader(leader, effect)
  }

  #executeLeader (leader: Leader, effect: Effect): void {
    if (effect.kind === 'promotion/appoint') return this.#call(leader, effect as AppointPrimary)
    if (effect.kind === 'database/fence') return this.#fence(leader, effect as FenceReplica)
    if (effect.kind === 'database/read-position') return this.#readPosition(leader, effect as ReadPosition)
    if (effect.kind !== 'loop/tell') return
    const message = (effect as Tell).message as { readonly kind: string, readonly command?: ProposedCommand, readonly entry?: GrantEntry }
    if (message.kind === 'membership/publish') Object.assign(leader, { grant: message.entry, revision: leader.revision + 1 })
    if (message.kind === 'agreement/propose') this.#schedule(this.#random() * 60, () => this.#commitCommand(leader, message.command!))
  }

  #commitCommand (leader: Leader, command: ProposedCommand): void {
    if (leader.endsAtMs <= this.#nowMs) return
    this.#decide(leader, this.#log.commit(command))
  }

  #fence (leader: Leader, { database, term, receives }: FenceReplica): void {
    this.#schedule(this.#random() * 20, () => {
      const member = this.#group.members.get(database)
      if (member?.running !== true || member.cut) return
      if (receives) return this.#group.resume(database)
      this.#group.stopReceiving(database, term)
      const position = { term: member.term, offset: member.log.length }
      if (leader.endsAtMs > this.#nowMs) this.#decide(leader, { kind: 'succession/fenced', group: 'g', database, position })
    })
  }

  #readPosition (leader: Leader, { database }: ReadPosition): void {
    this.#schedule(this.#random() * 20, () => {
      const member = this.#group.members.get(database)
      if (member?.running !== true || member.cut) return
      const position = { term: member.term, offset: member.log.length }
      if (leader.endsAtMs > this.#nowMs) this.#decide(leader, { kind: 'succession/position-read', group: 'g', database, position })
    })
  }

  #call (leader: Leader, { group, database, appointment, fence }: AppointPrimary): void {
    const answer = (outcome: 'done' | 'refused' | 'unanswered'): void => { if (leader.endsAtMs > this.#nowMs) this.#decide(leader, { kind: 'succession/answered', group, appointment, outcome }) }
    const isDown = this.#platformDownUntilMs > this.#nowMs
    const isLate = this.#hasFaults && this.#random() < 0.2
    if (!isDown && !isLate) return this.#schedule(20, () => answer(this.#group.promote(database, fence)))
    if (!isDown) this.#schedule(this.#random() * MAX_LATE_CALL_MS, () => { this.#group.promote(database, fence) })
    this.#schedule(CALL_TIMEOUT_MS, () => answer('unanswered'))
  }
}
