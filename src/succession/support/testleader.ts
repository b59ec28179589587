/** A leader of a group whose writes are acknowledged by a replica's copy, without links between hosts. */
import type { Effect, RecordEvent, Tell } from '../../core/message.js'
import type { FenceReplica, ReadPosition } from '../../databases/driver.js'
import type { DatabaseEntry, DatabaseStatus, GrantEntry, WriteReport } from '../../membership/directory.js'
import { decideSuccession } from '../decide.js'
import type { SuccessionMessage } from '../messages.js'
import { createSuccessionState, type AppointPrimary } from '../state.js'
import { TestLog, type ProposedCommand } from './testlog.js'

const STEP_MS = 50

/** A leader with a log that commits unless told otherwise, and databases that one host reports, three at first. */
export class TestLeader {
  readonly calls: AppointPrimary[] = []
  readonly grants: GrantEntry[] = []
  /** The names of recorded events, in order. */
  readonly events: string[] = []
  readonly offsets = [50, 50, 50]
  readonly terms = [1, 1, 1]
  readonly silent = new Set<number>()
  /** Databases that the leader does not reach, while their owner does. */
  readonly unreached = new Set<number>()
  /** The term at which each database is paused; 0 while it receives. */
  readonly heldTerms = [0, 0, 0]
  /** How many of the next orders to receive are lost. */
  lostResumes = 0
  readonly departing = new Set<number>()
  readonly withdrawn = new Set<number>()
  /** Databases that announce themselves no longer. */
  readonly lost = new Set<number>()
  readonly addresses = ['10.0.0.0', '10.0.0.1', '10.0.0.2']
  /** What `replacement-waits` says, in order. */
  readonly awaited: string[] = []
  /** What the owner of the primary reports; undefined while it is silent. */
  writes: WriteReport | undefined = { group: 'g', phase: 'open' }
  commitsProposals = true
  /** The index of the database that leads. */
  primary = 0
  /** False once the announced primary answers like a replica. */
  proves = true
  readonly #log = TestLog.create()
  #state = createSuccessionState(true)
  #nowMs = 10_000
  #round = 0

  static create (): TestLeader {
    const leader = new TestLeader()
    leader.#decide(leader.#log.lead(3))
    leader.#decide({ kind: 'succession/documents', copies: new Map([['g', 1]]) })
    leader.run(3_000)
    return leader
  }

  run (ms: number): void {
    for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
      this.#nowMs += STEP_MS
      this.report(this.writes)
      this.#decide({ kind: 'succession/check-due' })
    }
  }

  /** Reports the databases, and what a host says of its commits. */
  report (writes: WriteReport | undefined, round = ++this.#round): void {
    const present = this.offsets.map((_, index) => index).filter(index => !this.withdrawn.has(index) && !this.lost.has(index))
    const databases = present.map((index): DatabaseEntry => ({ kind: 'database', database: `db-${index}`, group: 'g', failureDomain: 'a', address: this.addresses[index]!, slots: 3, connectionLimit: 10, departing: this.departing.has(index), leads: index === this.primary }))
    const statuses = this.offsets.map((offset, index): DatabaseStatus => ({ database: `db-${index}`, answering: !this.silent.has(index), primary: index === this.primary && this.proves, position: { term: this.terms[index]!, offset }, fencedTerm: this.heldTerms[index]!, ageMs: 0 }))
    const report = { kind: 'succession/reported', failureDomain: 'a', apart: false, leftAtMs: this.#nowMs, statuses, databases } as const
    this.#decide({ ...report, host: 'prober' })
    if (writes !== undefined) this.#decide({ ...report, host: 'owner', statuses: [], databases: [], writes: [writes], process: 'p1', round })
  }

  /** A database ends as planned. */
  withdraw (index: number): void {
    this.withdrawn.add(index)
    this.silent.add(index)
    this.#decide({ kind: 'succession/withdrawn', database: `db-${index}` })
  }

  /** A database is lost without a word. */
  lose (index: number): void {
    this.lost.add(index)
    this.silent.add(index)
  }

  /** Another database starts at the address of one that has ended, with its log. */
  replace (index: number): void {
    this.offsets.push(this.offsets[index]!)
    this.terms.push(this.terms[index]!)
    this.heldTerms.push(0)
    this.addresses.push(this.addresses[index]!)
  }

  /** Changes how many replicas have to hold a write. */
  requireCopies (copies: number): void {
    this.#decide({ kind: 'succession/documents', copies: new Map([['g', copies]]) })
  }

  /** Another host leads, which knows the log alone. */
  lead (): void {
    this.#decide(this.#log.lead(4))
  }

  answer (outcome: 'done' | 'refused' | 'unanswered'): void {
    const { group, appointment } = this.calls.at(-1)!
    this.#decide({ kind: 'succession/answered', group, appointment, outcome })
  }

  #decide (message: SuccessionMessage): void {
    const step = decideSuccession(this.#state, message, { monotonicMs: this.#nowMs, wallMs: 0, random: 0.5 })
    this.#state = step.state
    for (const effect of step.effects) this.#execute(effect)
  }

  #execute (effect: Effect): void {
    if (effect.kind === 'promotion/appoint') this.calls.push(effect as AppointPrimary)
    if (effect.kind === 'database/fence') this.#answerFence(effect as FenceReplica)
    if (effect.kind === 'timeline/record') this.#recordEvent(effect as RecordEvent)
    if (effect.kind === 'database/read-position') this.#answerRead(effect as ReadPosition)
    if (effect.kind !== 'loop/tell') return
    const message = (effect as Tell).message as { readonly kind: string, readonly command?: ProposedCommand, readonly entry?: GrantEntry }
    if (message.kind === 'membership/publish') this.grants.push(message.entry!)
    if (message.kind === 'agreement/propose' && this.commitsProposals) this.#decide(this.#log.commit(message.command!))
  }

  #recordEvent ({ event, text }: RecordEvent): void {
    this.events.push(event)
    if (event === 'replacement-waits') this.awaited.push(text)
  }

  #answerRead ({ database }: ReadPosition): void {
    const index = Number(database.slice('db-'.length))
    if (!this.silent.has(index) && !this.unreached.has(index)) this.#decide({ kind: 'succession/position-read', group: 'g', database, position: { term: this.terms[index]!, offset: this.offsets[index]! } })
  }

  #answerFence ({ database, term, receives }: FenceReplica): void {
    const index = Number(database.slice('db-'.length))
    if (this.silent.has(index) || this.unreached.has(index) || (receives && this.lostResumes-- > 0)) return
    this.heldTerms[index] = receives ? 0 : term
    if (!receives) this.#decide({ kind: 'succession/fenced', group: 'g', database, position: { term: this.terms[index]!, offset: this.offsets[index]! } })
  }
}
