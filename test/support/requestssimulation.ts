/** Simulation for randomised tests of requests: one entry host and two owner hosts over lossy links, with databases that count executions. */
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { Failure } from '../../src/core/errors.js'
import type { Effect, Message, SendPeer, SetTimer, Tell } from '../../src/core/message.js'
import { readOwner } from '../../src/core/message.js'
import { ORIGIN } from '../../src/core/position.js'
import { StoreSlice } from '../../src/core/store.js'
import type { DatabaseEffect, ExecuteRequest } from '../../src/databases/driver.js'
import type { CallerEffect } from '../../src/frontends/frontend.js'
import type { DatabaseEntry, GrantEntry } from '../../src/membership/directory.js'
import type { HostMessage } from '../../src/messages.js'
import { decideRequests } from '../../src/requests/decide.js'
import type { Intent, RouteRules, TransactionStatus } from '../../src/requests/messages.js'
import { createRequestsShared } from '../../src/requests/state.js'
import { checkOwnedDatabase } from '../../src/transactions/invariants.js'
import { decideTransactions } from '../../src/transactions/decide.js'
import type { ColdLimits } from '../../src/transactions/refill.js'
import { createTransactionsShared } from '../../src/transactions/state.js'

const REQUEST_TIMEOUT_MS = 500
const IDLE_TIMEOUT_MS = 1_000
const CONNECTION_LIMIT = 4
const COLD_LIMITS: ColdLimits = { excess: 1.5, slack: 5, unheardMs: 500 }
const HOSTS = ['entry', 'one', 'two'] as const
const GRANT: GrantEntry = { kind: 'grant', group: 'a', term: 1, primary: 'a1', members: ['a1', 'a2'] }

type HostName = typeof HOSTS[number]

interface IssuedRequest {
  readonly id: number
  readonly caller: string
  readonly intent: Intent
  readonly route: 'write' | 'repeatable' | 'read'
  /** ID of the request that began the caller's transaction. */
  readonly beginRequestId?: number
}

interface SimulatedConnection {
  readonly name: string
  readonly host: HostName
  readonly database: string
  open: boolean
  transaction?: number
  work?: { readonly issued: IssuedRequest, readonly refused: boolean, parts: number, executed: boolean }
}

/** The violated guarantees of a run, and how often its requests ended in each way. */
export interface RunOutcome {
  readonly violations: readonly string[]
  readonly outcomeCounts: Readonly<Record<string, number>>
}

/** Runs one schedule, determined by its seed. */
export class RequestsSimulation {
  readonly #random
  readonly #requests = StoreSlice.create({ name: 'requests', shared: createRequestsShared(REQUEST_TIMEOUT_MS), decide: decideRequests })
  readonly #owners = new Map(HOSTS.map(host => [host, StoreSlice.create({ name: 'transactions', shared: createTransactionsShared(6, IDLE_TIMEOUT_MS, undefined, COLD_LIMITS), decide: decideTransactions, checkItem: checkOwnedDatabase })]))
  readonly #timers = new Map<string, { readonly host: HostName, readonly atMs: number, readonly message: Message }>()
  readonly #links = new Map<string, Message[]>()
  readonly #delayed: Array<{ readonly to: HostName, readonly message: Message }> = []
  readonly #connections = new Map<string, SimulatedConnection>()
  readonly #issuedRequests = new Map<number, IssuedRequest>()
  readonly #pending = new Map<string, { readonly issued: IssuedRequest, rows: string[] }>()
  readonly #openTransactions = new Map<string, number>()
  readonly #statuses = new Map<string, TransactionStatus>()
  readonly #executionCounts = new Map<number, number>()
  readonly #reportedNotRun = new Set<number>()
  readonly #violations: string[] = []
  readonly #outcomeCounts: Record<string, number> = {}
  #primaryOwner: HostName = 'one'
  #nowMs = 0
  #offset = 0

  readonly #cutUntilMs = new Map<HostName, number>()
  readonly #coldRate: number | undefined
  /** When statements were sent, by database. */
  readonly #sentAtMs = new Map<string, number[]>()

  private constructor (seed: number, coldRate: number | undefined) {
    this.#random = xoroshiro128plus(seed)
    this.#coldRate = coldRate
  }

  /**
   * Creates a schedule.
   * @param coldRate the databases are cold, and their group has this rate.
   */
  static create (seed: number, coldRate?: number): RequestsSimulation {
    return new RequestsSimulation(seed, coldRate)
  }

  /** Runs random steps, completes all requests, closes all callers, and checks that no state remains. */
  run (steps: number): RunOutcome {
    for (const host of ['one', 'two'] as const) this.#announceOwned(host)
    for (let caller = 0; caller < 4; caller++) this.#post('entry', { kind: 'requests/open', caller: `c${caller}`, service: 's', workspace: 'w', keyHash: 'k' })
    this.#grantLease()
    for (let step = 0; step < steps; step++) this.#runRandomStep()
    for (let round = 0; round < 50; round++) this.#runRound()
    for (const { issued } of this.#pending.values()) this.#violations.push(`request ${issued.id} was never answered`)
    for (const caller of this.#statuses.keys()) this.#post('entry', { kind: 'requests/closed', caller })
    for (let round = 0; round < 50; round++) this.#runRound()
    this.#checkRemaining()
    for (const [database, sentAtMs] of this.#sentAtMs) this.#checkColdLimit(database, sentAtMs)
    return { violations: this.#violations, outcomeCounts: this.#outcomeCounts }
  }

  #checkColdLimit (database: string, sentAtMs: readonly number[]): void {
    const limit = (this.#coldRate ?? Infinity) * COLD_LIMITS.excess + COLD_LIMITS.slack
    for (const startMs of sentAtMs) {
      const count = sentAtMs.filter(atMs => atMs >= startMs && atMs <= startMs + 1_000).length
      if (count > limit) this.#violations.push(`${database} is cold and got ${count} statements in the second from ${startMs}, ${limit} are allowed`)
    }
  }

  #draw (below: number): number {
    return uniformInt(this.#random, 0, below - 1)
  }

  #runRandomStep (): void {
    const choice = this.#draw(1_000)
    if (choice < 450) return this.#deliver()
    if (choice < 750) return this.#advanceConnection()
    if (choice < 850) return this.#advanceTime(this.#draw(30))
    if (choice < 960) return this.#sendRequest()
    if (choice < 972) return this.#disconnectLink()
    if (choice < 990) return this.#deliverDelayed()
    if (choice < 995) return this.#changeOwner()
    this.#dropConnection()
  }

  #runRound (): void {
    for (let count = 0; count < 20; count++) {
      this.#deliver()
      this.#advanceConnection()
    }
    this.#advanceTime(40)
  }

  #post (host: HostName, message: HostMessage): void {
    const inbox: Message[] = [message]
    for (let next = inbox.shift(); next !== undefined; next = inbox.shift()) {
      for (const effect of this.#decide(host, next)) {
        if (effect.kind === 'loop/tell') inbox.push((effect as Tell).message)
        else this.#executeEffect(host, effect)
      }
    }
  }

  #decide (host: HostName, message: Message): readonly Effect[] {
    const moment = { monotonicMs: this.#nowMs, wallMs: 0, random: this.#draw(1_000_000) / 1_000_000 }
    switch (readOwner(message.kind)) {
      case 'requests': return host === 'entry' ? this.#requests.handle(message, moment) : []
      case 'transactions': return this.#owners.get(host)!.handle(message, moment)
      default: return this.#answerForSlice(message as HostMessage)
    }
  }

  #answerForSlice (message: HostMessage): readonly Effect[] {
    if (message.kind === 'admission/check-open') return [{ kind: 'loop/tell', message: { kind: 'requests/open-checked', caller: message.caller } } as Tell]
    if (message.kind === 'admission/check-request') {
      const rules: RouteRules = { group: 'a', action: message.route === 'read' ? 'read' : 'write', maxStalenessMs: 0, idempotent: message.route === 'repeatable' }
      return [{ kind: 'loop/tell', message: { kind: 'requests/admitted', caller: message.caller, attempt: message.attempt, rules } } as Tell]
    }
    if (message.kind !== 'routing/choose') return []
    const replica = message.rules.action === 'read'
    const target = { database: replica ? 'a2' : 'a1', owner: replica ? 'two' : this.#primaryOwner, purpose: replica ? 'replica' : 'primary', term: 1, floor: ORIGIN }
    return [{ kind: 'loop/tell', message: { kind: 'requests/routed', caller: message.caller, attempt: message.attempt, target } as Message } as Tell]
  }

  #executeEffect (host: HostName, effect: Effect): void {
    if (effect.notAfterMs !== undefined && this.#nowMs > effect.notAfterMs) {
      if (effect.otherwise !== undefined) this.#post(host, effect.otherwise as HostMessage)
      return
    }
    if (effect.kind === 'timer/set') {
      const { name, afterMs, message } = effect as SetTimer
      this.#timers.set(`${host}:${name}`, { host, atMs: this.#nowMs + afterMs, message })
    } else if (effect.kind === 'timer/clear') this.#timers.delete(`${host}:${(effect as SetTimer).name}`)
    else if (effect.kind === 'peer/send') this.#sendToPeer(host, effect as SendPeer)
    else if (readOwner(effect.kind) === 'caller') this.#receiveAnswer(effect as CallerEffect)
    else if (readOwner(effect.kind) === 'database') this.#handleDatabaseEffect(host, effect as DatabaseEffect)
  }

  #sendToPeer (from: HostName, { to, message }: SendPeer): void {
    const link = `${from}>${to}`
    const received = { ...message, from } as Message
    this.#links.set(link, [...(this.#links.get(link) ?? []), received])
  }

  #deliver (): void {
    const links = [...this.#links].filter(([, frames]) => frames.length > 0)
    if (links.length === 0) return
    const [link, [message, ...rest]] = links[this.#draw(links.length)]!
    const to = link.split('>')[1] as HostName
    this.#links.set(link, rest)
    if (this.#draw(12) === 0) this.#delayed.push({ to, message: message! })
    this.#post(to, message as HostMessage)
  }

  #disconnectLink (): void {
    const [from, to] = this.#draw(2) === 0 ? ['entry', this.#draw(2) === 0 ? 'one' : 'two'] as const : [this.#draw(2) === 0 ? 'one' : 'two', 'entry'] as const
    const lostMessages = this.#links.get(`${from}>${to}`) ?? []
    for (const message of lostMessages) if (this.#draw(2) === 0) this.#delayed.push({ to, message })
    this.#links.set(`${from}>${to}`, [])
    for (const [host, other] of [[from, to], [to, from]] as const) {
      const peerLost = host === 'entry' ? { kind: 'requests/peer-lost', host: other } : { kind: 'transactions/host-lost', host: other }
      this.#timers.set(`lost:${this.#offset++}`, { host, atMs: this.#nowMs + this.#draw(60), message: peerLost })
    }
  }

  #deliverDelayed (): void {
    if (this.#delayed.length === 0) return
    const [delayed] = this.#delayed.splice(this.#draw(this.#delayed.length), 1)
    if (this.#draw(3) === 0) this.#delayed.push(delayed!)
    this.#post(delayed!.to, delayed!.message as HostMessage)
  }

  #advanceTime (ms: number): void {
    this.#nowMs += ms
    this.#grantLease()
    const due = [...this.#timers].filter(([, timer]) => timer.atMs <= this.#nowMs).sort(([, a], [, b]) => a.atMs - b.atMs)
    for (const [name, timer] of due) {
      if (this.#timers.get(name) !== timer) continue
      this.#timers.delete(name)
      this.#post(timer.host, timer.message as HostMessage)
    }
  }

  #grantLease (): void {
    // A host that lost its leader hears nothing for a while.
    if (this.#coldRate !== undefined && this.#draw(40) === 0) this.#cutUntilMs.set(this.#draw(2) === 0 ? 'one' : 'two', this.#nowMs + this.#draw(3_000))
    for (const host of ['one', 'two'] as const) {
      if (this.#coldRate !== undefined && this.#nowMs >= (this.#cutUntilMs.get(host) ?? 0)) this.#post(host, { kind: 'transactions/contact-confirmed', askedAtMs: this.#nowMs })
    }
    this.#post('entry', { kind: 'requests/grants-confirmed', grants: [GRANT], askedAtMs: this.#nowMs })
  }

  #announceOwned (host: HostName): void {
    const entry = (database: string): DatabaseEntry => ({ kind: 'database', database, group: 'a', failureDomain: 'f', address: database, slots: 2, connectionLimit: 3, departing: false, ...(this.#coldRate === undefined ? {} : { cold: true }) })
    const databases = [...(this.#primaryOwner === host ? [entry('a1')] : []), ...(host === 'two' ? [entry('a2')] : [])]
    this.#post(host, { kind: 'transactions/owned-changed', databases, grants: [GRANT], coldRates: this.#coldRate === undefined ? undefined : new Map([['a', this.#coldRate]]) })
  }

  #changeOwner (): void {
    this.#primaryOwner = this.#primaryOwner === 'one' ? 'two' : 'one'
    const hosts: readonly HostName[] = this.#draw(2) === 0 ? ['one', 'two'] : ['two', 'one']
    for (const host of hosts) this.#announceOwned(host)
  }

  #sendRequest (): void {
    const callers = [...this.#statuses.keys()].filter(caller => !this.#pending.has(caller))
    if (callers.length === 0) return
    const caller = callers[this.#draw(callers.length)]!
    const issued: IssuedRequest = { id: this.#issuedRequests.size, caller, beginRequestId: this.#openTransactions.get(caller), ...this.#pickWork(this.#statuses.get(caller)!) }
    this.#issuedRequests.set(issued.id, issued)
    this.#pending.set(caller, { issued, rows: [] })
    this.#post('entry', { kind: 'requests/arrived', caller, input: { intent: issued.intent, route: issued.route }, payload: Buffer.from(String(issued.id)) })
  }

  #pickWork (status: TransactionStatus): Pick<IssuedRequest, 'intent' | 'route'> {
    if (status === 'failed') return { intent: this.#draw(3) === 0 ? 'statement' : 'rollback', route: 'write' }
    if (status === 'open') return { intent: (['statement', 'statement', 'commit', 'rollback'] as const)[this.#draw(4)]!, route: 'write' }
    if (this.#draw(4) === 0) return { intent: 'begin', route: 'write' }
    return { intent: 'statement', route: (['write', 'repeatable', 'read'] as const)[this.#draw(3)]! }
  }

  #receiveAnswer (effect: CallerEffect): void {
    const { caller } = effect
    if (effect.kind === 'caller/opened') {
      this.#statuses.set(caller, 'idle')
      return
    }
    const pending = this.#pending.get(caller)
    if (pending === undefined) {
      this.#violations.push(`${effect.kind} for ${caller}, which has no pending request`)
      return
    }
    if (effect.kind === 'caller/output') {
      pending.rows.push(Buffer.from(effect.payload).toString())
      return
    }
    this.#pending.delete(caller)
    this.#endRequest(pending.issued, pending.rows, effect)
  }

  #endRequest (issued: IssuedRequest, rows: readonly string[], effect: CallerEffect): void {
    const status = effect.kind === 'caller/finished' || effect.kind === 'caller/failed' ? effect.status : 'idle'
    this.#statuses.set(issued.caller, status)
    if (status === 'idle') this.#openTransactions.delete(issued.caller)
    else if (issued.intent === 'begin') this.#openTransactions.set(issued.caller, issued.id)
    if (effect.kind === 'caller/finished') {
      const expectedEnd = Buffer.from(effect.payload).toString()
      const received = [...rows, `${issued.id}/end/${rows.length}`].join(' ')
      if (rows.some((row, part) => row !== `${issued.id}/${part}`) || !received.endsWith(expectedEnd)) this.#violations.push(`request ${issued.id} received ${received}, expected the end ${expectedEnd}`)
      this.#countOutcome('finished')
    } else if (effect.kind === 'caller/failed') this.#countFailure(issued, effect.failure)
    else this.#countOutcome('rolled back')
  }

  #countFailure (issued: IssuedRequest, failure: Failure): void {
    this.#countOutcome(failure.code)
    if (failure.effect === 'not-run') this.#reportedNotRun.add(issued.id)
  }

  #countOutcome (what: string): void {
    this.#outcomeCounts[what] = (this.#outcomeCounts[what] ?? 0) + 1
  }

  #handleDatabaseEffect (host: HostName, effect: DatabaseEffect): void {
    if (effect.kind === 'database/open') {
      const name = `${host}:${effect.connection}`
      this.#connections.set(name, { name: effect.connection, host, database: effect.address, open: false })
    } else if (effect.kind === 'database/execute') this.#executeRequest(host, effect)
    else if (effect.kind === 'database/close') this.#closeConnection(this.#connections.get(`${host}:${effect.connection}`))
    else if (effect.kind === 'database/await-stored') {
      const message: HostMessage = { kind: 'transactions/stored', database: effect.database, position: { term: 1, offset: this.#offset } }
      this.#timers.set(`${host}:stored`, { host, atMs: this.#nowMs + this.#draw(20), message })
    }
  }

  #executeRequest (host: HostName, effect: ExecuteRequest): void {
    const connection = this.#connections.get(`${host}:${effect.connection}`)
    if (connection === undefined) return
    const issued = this.#issuedRequests.get(Number(Buffer.from(effect.payload).toString()))!
    this.#sentAtMs.set(connection.database, [...(this.#sentAtMs.get(connection.database) ?? []), this.#nowMs])
    if (connection.work !== undefined) this.#violations.push(`${effect.connection} received request ${issued.id} while request ${connection.work.issued.id} runs`)
    if (connection.transaction !== issued.beginRequestId) this.#violations.push(`request ${issued.id} of transaction ${issued.beginRequestId} ran in ${connection.transaction}`)
    const refused = issued.beginRequestId === undefined && issued.route === 'write' && this.#draw(10) === 0
    connection.work = { issued, refused, parts: 0, executed: false }
  }

  // A request sent before the close may still run.
  #closeConnection (connection: SimulatedConnection | undefined): void {
    if (connection === undefined) return
    if (connection.work?.executed === false && !connection.work.refused && this.#draw(2) === 0) this.#countExecution(connection.work.issued.id)
    this.#connections.delete(`${connection.host}:${connection.name}`)
  }

  #countExecution (id: number): void {
    this.#executionCounts.set(id, (this.#executionCounts.get(id) ?? 0) + 1)
  }

  #dropConnection (): void {
    const connections = [...this.#connections.values()].filter(connection => connection.open)
    if (connections.length === 0) return
    const connection = connections[this.#draw(connections.length)]!
    this.#closeConnection(connection)
    this.#post(connection.host, { kind: 'transactions/broken', connection: connection.name })
  }

  #advanceConnection (): void {
    const connections = [...this.#connections.values()].filter(connection => !connection.open || connection.work !== undefined)
    if (connections.length === 0) return
    const connection = connections[this.#draw(connections.length)]!
    if (!connection.open) this.#finishOpening(connection)
    else this.#advanceWork(connection, connection.work!)
  }

  #finishOpening (connection: SimulatedConnection): void {
    const others = [...this.#connections.values()].filter(other => other.open && other.database === connection.database)
    if (others.length >= CONNECTION_LIMIT || this.#draw(15) === 0) {
      this.#connections.delete(`${connection.host}:${connection.name}`)
      return this.#post(connection.host, { kind: 'transactions/open-failed', connection: connection.name, text: 'full' })
    }
    connection.open = true
    this.#post(connection.host, { kind: 'transactions/opened', connection: connection.name })
  }

  #advanceWork (connection: SimulatedConnection, work: NonNullable<SimulatedConnection['work']>): void {
    const { issued, refused } = work
    if (!work.executed && !refused) this.#countExecution(issued.id)
    work.executed = true
    if (!refused && work.parts < 3 && this.#draw(2) === 0) {
      const payload = Buffer.from(`${issued.id}/${work.parts++}`)
      return this.#post(connection.host, { kind: 'transactions/output', connection: connection.name, payload })
    }
    connection.work = undefined
    if (issued.intent === 'begin' && !refused) connection.transaction = issued.id
    if (issued.intent === 'commit' || issued.intent === 'rollback') connection.transaction = undefined
    const wrote = issued.intent === 'commit' || (connection.transaction === undefined && issued.route !== 'read' && !refused)
    const position = wrote ? { term: 1, offset: ++this.#offset } : undefined
    const status = connection.transaction === undefined ? 'idle' : 'open'
    this.#post(connection.host, { kind: 'transactions/finished', connection: connection.name, status, position, refused, payload: Buffer.from(`${issued.id}/end/${work.parts}`) })
  }

  #checkRemaining (): void {
    for (const [id, count] of this.#executionCounts) {
      const { route } = this.#issuedRequests.get(id)!
      if (count > 1 && route === 'write') this.#violations.push(`request ${id} ran ${count} times`)
      if (this.#reportedNotRun.has(id)) this.#violations.push(`request ${id} ran, but its caller was told that it did not`)
    }
    for (const [host, slice] of this.#owners) {
      for (const database of slice.store.items.values()) {
        if (database.units.size > 0 || database.pendingWrites.length > 0) this.#violations.push(`${host} still holds work for database ${database.entry.database}`)
      }
    }
    if (this.#requests.store.items.size > 0) this.#violations.push('the entry host still holds callers after all have left')
  }
}
