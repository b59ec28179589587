/** A simulated group of replicas with faulty links, disks and clocks; for tests only. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { Effect, SendPeer, SetTimer } from '../../core/message.js'
import { decideReplica } from '../decidereplica.js'
import { calculateLeaseEnd } from '../election.js'
import { findEntry, type Entry } from '../log.js'
import { StateMachine, type ApplyResult } from '../statemachine.js'
import { recoverReplica } from '../recover.js'
import { createReplicaState, type AppendRecords, type JournalRecord, type CommandApplied, type ReplicaMessage, type ReplicaState, type StoreSnapshot, type VoteResponse } from '../replica.js'

interface AddCommand {
  readonly kind: 'test/add'
  readonly id: number
}

/** The number of applied commands, and a hash over them in order. */
interface Sum {
  readonly count: number
  readonly hash: number
}
type State = ReplicaState<Sum, AddCommand>

class SumMachine extends StateMachine<Sum, AddCommand, number> {
  readonly initial: Sum = { count: 0, hash: 0 }

  static create (): SumMachine {
    return new SumMachine()
  }

  apply (state: Sum, command: AddCommand): ApplyResult<Sum, number> {
    return { state: { count: state.count + 1, hash: (Math.imul(state.hash, 31) + command.id) | 0 }, outcome: state.count }
  }
}

const MACHINE = SumMachine.create()
const FAULTS_MS = 4_000
const HEALED_MS = 15_000
const LIMITS = { snapshotEvery: 6, snapshotBytes: 1_048_576, entriesKept: 3, bytesKept: 1_048_576, messageBytes: 100 }

interface Disk {
  readonly incarnation: string
  snapshot: StoreSnapshot<Sum, AddCommand>['snapshot'] | undefined
  records: ReadonlyArray<JournalRecord<AddCommand>>
  waiting: ReadonlyArray<AppendRecords<AddCommand> | StoreSnapshot<Sum, AddCommand>>
  syncing: boolean
}

interface Process {
  readonly host: string
  readonly offsetMs: number
  readonly rate: number
  disk: Disk
  state: State
  /** Number of the current start; events of an earlier start are dropped. */
  start: number
  up: boolean
  frozenUntilMs: number
  checked: number
}

interface ScheduledEvent {
  readonly atMs: number
  readonly order: number
  readonly run: () => void
}

/** Runs the schedule of one seed, and checks the invariants of all replicas after each message. */
export class ReplicaGroup {
  readonly eventCounts = { committed: 0, elections: 0, replaced: 0, installs: 0 }
  readonly #random: () => number
  readonly #processes: readonly Process[]
  readonly #blockedLinks = new Set<string>()
  readonly #leaders = new Map<string, string>()
  readonly #votes = new Map<string, string>()
  readonly #committed = new Map<number, string>()
  readonly #acknowledged = new Set<number>()
  #events: ScheduledEvent[] = []
  #nowMs = 0
  #order = 0
  #proposed = 0
  #faulty = true
  #diskCount = 0

  /** The most by which a timer fires late, as on hosts that are short of processor time. */
  readonly #lateMs: number

  private constructor (seed: number, lateMs: number) {
    this.#lateMs = lateMs
    const generator = xoroshiro128plus(seed)
    this.#random = () => uniformFloat64(generator)
    const hosts = Array.from({ length: this.#random() < 0.8 ? 3 : 5 }, (_, index) => `h${index + 1}`)
    this.#processes = hosts.map(host => ({
      host,
      offsetMs: this.#random() * 1_000_000,
      rate: 0.95 + this.#random() * 0.1,
      disk: this.#createDisk(),
      state: createReplicaState<Sum, AddCommand>(MACHINE.initial),
      start: 0,
      up: false,
      frozenUntilMs: 0,
      checked: 0
    }))
  }

  /** Creates a group of empty hosts. */
  static create (seed: number, lateMs = 0): ReplicaGroup {
    return new ReplicaGroup(seed, lateMs)
  }

  /** Runs with random faults for FAULTS_MS. */
  runFaults (): void {
    for (const process of this.#processes) this.#schedule(this.#random() * 100, () => this.#start(process))
    this.#schedule(this.#random() < 0.8 ? 1_300 : 300, () => this.#executeFault())
    this.#schedule(300, () => this.#propose())
    this.#run(() => this.#nowMs >= FAULTS_MS)
  }

  /** Heals all faults, and requires all replicas to converge and to hold every acknowledged command. */
  runHealed (): void {
    this.#faulty = false
    this.#blockedLinks.clear()
    for (const process of this.#processes) {
      process.frozenUntilMs = 0
      if (!process.up) this.#start(process)
    }
    const answered = this.#acknowledged.size + 2
    const committed = Math.max(...this.#committed.keys(), 0) + 2
    const endsAtMs = this.#nowMs + HEALED_MS
    this.#run(() => this.#nowMs >= endsAtMs || this.#hasConverged(answered, committed))
    if (!this.#hasConverged(answered, committed)) throw new Error(`no convergence after the faults: ${this.#describe()}`)
  }

  /**
   * Forms the group, then restarts the leader and all followers but `spared` at about the same time, `wiped` of the
   * followers with an empty disk. Returns the milliseconds until a leader is established.
   */
  runColdStart ({ spared = 0, wiped = 0 }: { readonly spared?: number, readonly wiped?: number }): number {
    this.#faulty = false
    for (const process of this.#processes) this.#start(process)
    this.#run(() => this.#findLeader() !== undefined)
    const leader = this.#findLeader()!
    const restarted = [leader, ...this.#processes.filter(process => process !== leader).slice(spared)]
    for (const process of restarted) this.#fail(process)
    for (const process of restarted.slice(1, 1 + wiped)) process.disk = this.#createDisk()
    for (const process of restarted) this.#schedule(this.#random() * 30, () => { if (!process.up) this.#start(process) })
    const fromMs = this.#nowMs
    this.#run(() => this.#findLeader() !== undefined)
    return this.#nowMs - fromMs
  }

  #findLeader (): Process | undefined {
    return this.#processes.find(({ up, state }) => up && state.leaderState?.established === true)
  }

  // Every replica has committed beyond all entries that were committed under faults. Since #compare requires equal
  // entries at each index, no acknowledged command is lost.
  #hasConverged (answered: number, committed: number): boolean {
    return this.#acknowledged.size >= answered && this.#processes.every(({ state }) =>
      state.committed >= committed && state.log.configuration?.members[state.self] === state.incarnation)
  }

  #describe (): string {
    return this.#processes.map(({ state, up }) => `${state.self} ${up} ${state.role} of ${state.leader} term ${state.hardState.term} committed ${state.committed} of ${this.#committed.size / 2} ${JSON.stringify(state.log.configuration)} ${state.incarnation}`).join('; ')
  }

  #createDisk (): Disk {
    this.#diskCount += 1
    return { incarnation: `i${this.#diskCount}`, snapshot: undefined, records: [], waiting: [], syncing: false }
  }

  #schedule (afterMs: number, run: () => void): void {
    this.#order += 1
    const due = { atMs: this.#nowMs + afterMs, order: this.#order, run }
    let low = 0
    let high = this.#events.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if (this.#events[middle]!.atMs > due.atMs) low = middle + 1
      else high = middle
    }
    this.#events.splice(low, 0, due)
  }

  #run (ends: () => boolean): void {
    while (!ends()) {
      const due = this.#events.pop()!
      this.#nowMs = due.atMs
      due.run()
    }
  }

  #start (process: Process): void {
    process.start += 1
    process.up = true
    process.state = createReplicaState<Sum, AddCommand>(MACHINE.initial)
    process.checked = 0
    const control = this.#processes.map(({ host }) => host)
    this.#deliver(process, { kind: 'agreement/started', self: process.host, control, recovered: recoverReplica(process.disk), limits: LIMITS })
  }

  #fail (process: Process): void {
    process.up = false
    process.start += 1
    // Unsynced writes survive a crash up to a random point, in order.
    const survives = Math.floor(this.#random() * (process.disk.waiting.length + 1))
    for (const write of process.disk.waiting.slice(0, survives)) applyWrite(process.disk, write)
    process.disk.waiting = []
    process.disk.syncing = false
    this.#schedule(this.#random() * (this.#random() < 0.5 ? 100 : 1_500), () => { if (!process.up) this.#start(process) })
  }

  #readClock (process: Process): number {
    return process.offsetMs + this.#nowMs * process.rate
  }

  #deliver (process: Process, message: ReplicaMessage<Sum, AddCommand>): void {
    const { start } = process
    if (!process.up) return
    if (this.#nowMs < process.frozenUntilMs) {
      this.#schedule(process.frozenUntilMs - this.#nowMs, () => { if (process.start === start) this.#deliver(process, message) })
      return
    }
    const moment = { monotonicMs: this.#readClock(process), wallMs: 0, random: this.#random() }
    const step = decideReplica(MACHINE, process.state, message, moment)
    process.state = step.state
    this.#check(process)
    for (const effect of step.effects) this.#executeEffect(process, effect)
  }

  #executeEffect (process: Process, effect: Effect): void {
    if (effect.kind === 'timer/set') return this.#setTimer(process, effect as SetTimer)
    if (effect.kind === 'peer/send') return this.#send(process, effect as SendPeer)
    if (effect.kind === 'journal/append' || effect.kind === 'journal/snapshot') return this.#store(process, effect as AppendRecords<AddCommand>)
    if (effect.kind === 'replica/applied') this.#checkApplied(effect as CommandApplied<Sum, AddCommand, number>)
    if (effect.kind === 'replica/lease') this.#checkLeases(process)
  }

  #setTimer (process: Process, timer: SetTimer): void {
    const { start } = process
    const lateMs = this.#faulty && this.#lateMs > 0 ? this.#random() * this.#lateMs : 0
    this.#schedule(timer.afterMs / process.rate + lateMs, () => { if (process.start === start) this.#deliver(process, timer.message as ReplicaMessage<Sum, AddCommand>) })
  }

  #send (process: Process, { to, message }: SendPeer): void {
    if (message.kind === 'agreement/vote-answered') this.#recordVote(process, message as VoteResponse)
    if (message.kind === 'agreement/install') this.eventCounts.installs += 1
    const target = this.#processes.find(({ host }) => host === to)!
    const carried = { ...message, from: process.host } as ReplicaMessage<Sum, AddCommand>
    if (to === process.host) return this.#schedule(0, this.#createDelivery(target, carried))
    if (this.#blockedLinks.has(`${process.host}>${to}`) || (this.#faulty && this.#random() < 0.02)) return
    this.#schedule(this.#drawDelay(), this.#createDelivery(target, carried))
    if (this.#faulty && this.#random() < 0.02) this.#schedule(this.#drawDelay() * 5, this.#createDelivery(target, carried))
  }

  #createDelivery (target: Process, message: ReplicaMessage<Sum, AddCommand>): () => void {
    return () => this.#deliver(target, message)
  }

  #drawDelay (): number {
    if (this.#faulty && this.#random() < 0.01) return this.#random() * 2_000
    return 0.2 + this.#random() * this.#random() * 40
  }

  #store (process: Process, effect: AppendRecords<AddCommand> | StoreSnapshot<Sum, AddCommand>): void {
    process.disk.waiting = [...process.disk.waiting, effect]
    if (!process.disk.syncing) this.#sync(process)
  }

  #sync (process: Process): void {
    const { disk, start } = process
    const batch = disk.waiting
    disk.syncing = batch.length > 0
    if (batch.length === 0) return
    this.#schedule(0.1 + this.#random() * this.#random() * (this.#random() < 0.1 ? 400 : 30), () => {
      if (process.start !== start) return
      for (const write of batch) applyWrite(disk, write)
      disk.waiting = disk.waiting.slice(batch.length)
      this.#deliver(process, { kind: 'agreement/stored', write: batch[batch.length - 1]!.write })
      this.#sync(process)
    })
  }

  #propose (): void {
    const leader = this.#findLeader()
    if (leader !== undefined) {
      for (let count = this.#random(); count < 1.5; count++) this.#proposeOne(leader)
    }
    this.#schedule(50 + this.#random() * 200, () => this.#propose())
  }

  #proposeOne (leader: Process): void {
    this.#proposed += 1
    this.#deliver(leader, { kind: 'agreement/propose', proposal: String(this.#proposed), command: { kind: 'test/add', id: this.#proposed } })
  }

  #executeFault (): void {
    if (!this.#faulty) return
    const process = this.#processes[Math.floor(this.#random() * this.#processes.length)]!
    const kind = this.#random()
    if (kind < 0.2) this.#fail(process)
    else if (kind < 0.35) this.#failMany()
    else if (kind < 0.5) process.frozenUntilMs = this.#nowMs + this.#random() * 1_500
    else if (kind < 0.65) this.#cutLinks(process)
    else if (kind < 0.85) this.#splitNetwork()
    else this.#loseDisk(process)
    this.#schedule(this.#random() * 450, () => this.#executeFault())
  }

  // A power failure of several hosts: it loses whatever was acknowledged before its sync.
  #failMany (): void {
    const spared = this.#random() < 0.5 ? undefined : this.#processes[Math.floor(this.#random() * this.#processes.length)]
    for (const process of this.#processes) if (process.up && process !== spared) this.#fail(process)
  }

  #splitNetwork (): void {
    const side = new Set(this.#processes.filter(() => this.#random() < 0.5).map(({ host }) => host))
    for (const { host: from } of this.#processes) {
      for (const { host: to } of this.#processes) if (side.has(from) !== side.has(to)) this.#blockedLinks.add(`${from}>${to}`)
    }
    this.#schedule(500 + this.#random() * 1_500, () => this.#blockedLinks.clear())
  }

  #cutLinks (process: Process): void {
    const inward = this.#random() < 0.7
    const outward = this.#random() < 0.7
    for (const { host } of this.#processes) {
      if (inward) this.#blockedLinks.add(`${host}>${process.host}`)
      if (outward) this.#blockedLinks.add(`${process.host}>${host}`)
    }
    this.#schedule(this.#random() * 2_000, () => this.#blockedLinks.clear())
  }

  // Loses one disk at a time: the next one only after the previous member was replaced.
  #loseDisk (process: Process): void {
    const settled = this.#processes.some(({ up, state }) => {
      const { configuration, configurationIndex } = state.log
      return up && state.leaderState?.established === true && configuration?.old === undefined && configurationIndex <= state.committed &&
        this.#processes.every(({ host, disk }) => configuration?.members[host] === disk.incarnation)
    })
    if (!settled) return
    this.#fail(process)
    process.disk = this.#createDisk()
    this.eventCounts.replaced += 1
  }

  #checkApplied (effect: CommandApplied<Sum, AddCommand, number>): void {
    if (effect.proposal === undefined) return
    if (effect.proposal !== String(effect.command.id)) throw new Error('the applied command belongs to another proposal')
    if (this.#acknowledged.has(effect.command.id)) throw new Error('a command was acknowledged twice')
    this.#acknowledged.add(effect.command.id)
  }

  #recordVote (process: Process, answer: VoteResponse): void {
    if (answer.pre || !answer.granted) return
    const key = `${answer.group} ${answer.term} ${answer.incarnation}`
    const candidate = process.state.hardState.term === answer.term ? process.state.hardState.votedFor! : this.#votes.get(key)!
    if ((this.#votes.get(key) ?? candidate) !== candidate) throw new Error(`two votes in one term: ${key}`)
    this.#votes.set(key, candidate)
  }

  #check (process: Process): void {
    const { state } = process
    if (state.role === 'leader') this.#checkLeader(process)
    const start = Math.max(process.checked, state.log.snapshot.index)
    for (let index = start + 1; index <= state.committed; index++) this.#compareEntry(findEntry(state.log, index)!, state)
    if (process.checked < state.committed) this.#compare(`state ${state.committed}`, -state.committed, `${state.applied.count} ${state.applied.hash}`)
    if (state.committed < process.checked) throw new Error('the commit index went back')
    process.checked = state.committed
  }

  #checkLeader ({ state }: Process): void {
    const key = `${state.hardState.group} ${state.hardState.term}`
    const known = this.#leaders.get(key)
    if (known === undefined) this.eventCounts.elections += 1
    if (known !== undefined && known !== state.incarnation) throw new Error(`two leaders in one term: ${key}`)
    this.#leaders.set(key, state.incarnation)
  }

  // A late response may extend the lease of an old leader to a time in the past; only two leases valid at once are a fault.
  #checkLeases (leader: Process): void {
    if (calculateLeaseEnd(leader.state) <= this.#readClock(leader)) return
    for (const other of this.#processes) {
      if (other === leader || !other.up || other.state.leaderState === undefined) continue
      if (calculateLeaseEnd(other.state) > this.#readClock(other)) throw new Error(`two valid leases: ${leader.host} and ${other.host}`)
    }
  }

  #compareEntry (entry: Entry<AddCommand>, state: State): void {
    this.eventCounts.committed += 1
    this.#compare(`entry ${entry.index}`, entry.index, `${state.hardState.group} ${entry.term} ${JSON.stringify(entry.command)}`)
  }

  #compare (what: string, key: number, value: string): void {
    const known = this.#committed.get(key) ?? value
    if (known !== value) throw new Error(`${what} differs: ${known} and ${value}`)
    this.#committed.set(key, value)
  }
}

function applyWrite (disk: Disk, write: AppendRecords<AddCommand> | StoreSnapshot<Sum, AddCommand>): void {
  if (write.kind === 'journal/append') {
    disk.records = [...disk.records, ...write.records]
    return
  }
  disk.snapshot = write.snapshot
  disk.records = write.records
}
