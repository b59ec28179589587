/** State and messages of one replica of the log. Generic, so that others can embed it without sockets or files. */
import type { CoreEffect, Effect, Message, Step } from '../core/message.js'
import { createLog, type Entry, type Log, type LogCommand, type LogPoint, type Snapshot } from './log.js'

/** Time between two beats of a leader. */
export const LEADER_BEAT_MS = 100
/** How long a host that heard its leader votes for nobody else. */
export const ELECTION_MIN_MS = 500
/** The random part of an election's time-out. */
export const ELECTION_SPREAD_MS = 400
/**
 * How long a leader may act after it sent what a majority answered. Shorter than
 * ELECTION_MIN_MS by a fifth, which bounds the drift between two clocks' rates.
 */
export const LEADER_LEASE_MS = 400
/** The head start that each control host leaves to the one before it when all of them have just started: two round trips and a tick. */
export const COLD_STEP_MS = 100
/** Time between two looks at the clock. */
export const TICK_MS = 50

/** What a replica must find again after a restart, beside its entries. */
export interface Mark {
  readonly group?: string
  readonly term: number
  readonly votedFor?: string
}

/** One record of the journal. */
export type JournalRecord<C> =
  | { readonly kind: 'mark', readonly mark: Mark }
  | { readonly kind: 'entry', readonly entry: Entry<C> }

/** What the journal held at the start. */
export interface Recovered<S, C> {
  /** Drawn when the data folder was created. */
  readonly incarnation: string
  readonly mark: Mark
  readonly snapshot?: Snapshot<S>
  readonly entries: ReadonlyArray<Entry<C>>
}

/** Stores records; posts `agreement/stored` once they are synced. */
export interface AppendRecords<C> extends Effect {
  readonly kind: 'journal/append'
  readonly write: number
  readonly records: ReadonlyArray<JournalRecord<C>>
}

/** Stores a snapshot, with all that is needed after it, in place of all earlier records. */
export interface StoreSnapshot<S, C> extends Effect {
  readonly kind: 'journal/snapshot'
  readonly write: number
  readonly snapshot: Snapshot<S>
  readonly records: ReadonlyArray<JournalRecord<C>>
}

/** A committed command was applied. */
export interface ReplicaApplied<S, C, O> extends Effect {
  readonly kind: 'replica/applied'
  /** The proposal of this host, if it made it in this term. */
  readonly proposal?: string
  readonly command: C
  readonly outcome: O
  readonly state: S
}

/** The leader changed, as far as this replica knows. */
export interface ReplicaLeader<S> extends Effect {
  readonly kind: 'replica/leader'
  readonly leader?: string
  readonly term: number
  readonly state: S
}

/** This host leads, and may act on it until a moment. */
export interface ReplicaLease extends Effect {
  readonly kind: 'replica/lease'
  readonly untilMs: number
}

/** The effects of a replica. */
export type ReplicaEffect<S, C, O> = CoreEffect | AppendRecords<C> | StoreSnapshot<S, C> | ReplicaApplied<S, C, O> | ReplicaLeader<S> | ReplicaLease

/** The outcome of a replica's decision. */
export type ReplicaStep<S, C, O> = Step<ReplicaState<S, C>, ReplicaEffect<S, C, O>>

/** What every message between replicas carries. */
interface Envelope extends Message {
  /** The sending host. */
  readonly from?: string
  /** The incarnation of the host that formed the group. */
  readonly group: string
  readonly term: number
  /** The monotonic time of the asking host; comes back in the answer. */
  readonly sentAtMs: number
}

/** A candidate asks for a vote, or whether it would get one. */
export interface VoteAsked extends Envelope {
  readonly kind: 'agreement/vote-asked'
  readonly pre: boolean
  /** Set while the candidate has heard no leader since its process started, and counts on the same of all others. */
  readonly cold?: true
  /** The incarnation that is asked. */
  readonly for: string
  readonly last: LogPoint
}

/** The answer of a voter. */
export interface VoteAnswered extends Envelope {
  readonly kind: 'agreement/vote-answered'
  readonly pre: boolean
  readonly granted: boolean
  /** Set where the vote is given just because the voter has heard no leader since its process started. */
  readonly cold?: true
  readonly incarnation: string
  /** The voter's own term. */
  readonly known: number
}

/** The leader's beat, with entries if there are new ones. */
export interface Append<C> extends Envelope {
  readonly kind: 'agreement/append'
  readonly for: string
  readonly previous: LogPoint
  readonly entries: ReadonlyArray<Entry<C>>
  readonly committed: number
}

/** A part of the leader's snapshot. */
export interface Install extends Envelope {
  readonly kind: 'agreement/install'
  readonly for: string
  readonly index: number
  readonly offset: number
  /** A part of the snapshot as JSON. */
  readonly text: string
  readonly done: boolean
}

/** A follower's answer: up to where its synced log equals the leader's. */
export interface Appended extends Envelope {
  readonly kind: 'agreement/appended'
  readonly incarnation: string
  readonly accepted: boolean
  /** The last equal entry; if not accepted, the last that may be equal. */
  readonly index: number
}

/** A follower's answer to a part of a snapshot. */
export interface Installed extends Envelope {
  readonly kind: 'agreement/installed'
  readonly incarnation: string
  readonly index: number
  readonly offset: number
}

/** A control host that counts in no quorum tells of itself. */
export interface Waiting extends Message {
  readonly kind: 'agreement/waiting'
  readonly from?: string
  /** The host that waits, when another one passes its message on. */
  readonly host?: string
  readonly incarnation: string
  /** Absent while the host is empty. */
  readonly group?: string
  /** The incarnation of the receiving host, if the sender has heard it. */
  readonly heard?: string
}

/** Records were synced. */
export interface Stored extends Message {
  readonly kind: 'agreement/stored'
  readonly write: number
}

/** Time to look at the clock. */
export interface Tick extends Message {
  readonly kind: 'agreement/tick'
}

/** Bounds of one replica. */
export interface ReplicaLimits {
  /** Committed entries after the last snapshot at which the next one is taken. */
  readonly snapshotEvery: number
  /** Bytes of entries after the last snapshot at which the next one is taken. */
  readonly snapshotBytes: number
  /** Entries before the snapshot that are kept for hosts that lag a little. */
  readonly entriesKept: number
  /** The most bytes of entries or of a snapshot in one message; a larger entry goes alone. */
  readonly messageBytes: number
}

/** The bounds that a host uses. */
export const DEFAULT_LIMITS: ReplicaLimits = { snapshotEvery: 1_000, snapshotBytes: 16_777_216, entriesKept: 256, messageBytes: 262_144 }

/** The process has started. */
export interface ReplicaStarted<S, C> extends Message {
  readonly kind: 'agreement/started'
  readonly self: string
  readonly control: readonly string[]
  /** False where this start must not form a group, whatever the other hosts say; true when absent. */
  readonly forms?: boolean
  /** How many members the group should have; as many as it was formed with when absent. */
  readonly voters?: number
  /** Absent on a host that keeps no log. */
  readonly recovered?: Recovered<S, C>
  readonly limits?: ReplicaLimits
}

/** A slice of the leader wants a command in the log. */
export interface Propose<C> extends Message {
  readonly kind: 'agreement/propose'
  /** Chosen by the proposing slice; comes back when the command is applied. */
  readonly proposal: string
  readonly command: C
}

/** Any message of a replica. */
export type ReplicaMessage<S, C> =
  | Append<C> | Appended | Install | Installed | Propose<C> | ReplicaStarted<S, C>
  | Stored | Tick | VoteAnswered | VoteAsked | Waiting

/** A snapshot on its way to a follower. */
export interface Outgoing extends LogPoint {
  readonly text: string
  readonly offset: number
}

/** What a leader knows of one replica. */
export interface Progress {
  readonly host: string
  readonly incarnation: string
  /** Synced and equal up to here. */
  readonly matched: number
  readonly next: number
  /** When that was sent which was last answered. */
  readonly contactAtMs: number
  readonly outgoing?: Outgoing
}

/** What a leader keeps. */
export interface Leading {
  /** By the name of the replica. */
  readonly progress: ReadonlyMap<string, Progress>
  /** The entry with which this leader began its term. */
  readonly began: number
  readonly established: boolean
  readonly proposals: ReadonlyMap<number, string>
  readonly ledAtMs: number
  readonly beatAtMs: number
  /** What was committed at the beat before; who has synced it has caught up. */
  readonly beatCommitted: number
}

/** Effects that leave once a write is synced. */
export interface HeldEffects {
  readonly write: number
  readonly effects: readonly CoreEffect[]
}

/** A vote that this host was given. */
export interface Vote {
  readonly incarnation: string
  readonly sentAtMs: number
  readonly cold?: true
}

/** State of a replica. */
export interface ReplicaState<S, C> {
  readonly self: string
  readonly control: readonly string[]
  readonly forms: boolean
  /** How many members the group should have; 0 for as many as it has. */
  readonly voters: number
  /** Empty on a host that keeps no log. */
  readonly incarnation: string
  readonly limits: ReplicaLimits
  readonly mark: Mark
  readonly log: Log<S, C>
  readonly committed: number
  /** The state after the last committed entry. */
  readonly applied: S
  readonly role: 'follower' | 'asking' | 'candidate' | 'leader'
  /** The leader of the current term. */
  readonly leader?: string
  readonly heardAtMs: number
  /** True until this process hears a leader or votes: no leader's lease can rest on it. */
  readonly cold: boolean
  readonly startedAtMs: number
  readonly electionAtMs: number
  /** Votes for this host, with the time at which they were asked for. */
  readonly votes: ReadonlyMap<string, Vote>
  readonly leading?: Leading
  readonly writes: number
  readonly stored: number
  readonly held: readonly HeldEffects[]
  readonly incoming?: { readonly from: string, readonly index: number, readonly text: string }
  /** The incarnation that each control host last told of itself, while it waited. */
  readonly told: ReadonlyMap<string, string>
  /** Empty hosts that this host heard, while it is empty itself. */
  readonly empty: ReadonlyMap<string, { readonly incarnation: string, readonly heard?: string, readonly atMs: number }>
}

/**
 * Creates a replica before its start.
 * @example createReplicaState(CatalogMachine.create().initial).committed // 0
 */
export function createReplicaState<S, C extends LogCommand> (initial: S): ReplicaState<S, C> {
  return {
    self: '',
    control: [],
    forms: true,
    voters: 0,
    incarnation: '',
    limits: DEFAULT_LIMITS,
    mark: { term: 0 },
    log: createLog<S, C>({ index: 0, term: 0, state: initial }, []),
    committed: 0,
    applied: initial,
    role: 'follower',
    heardAtMs: 0,
    cold: false,
    startedAtMs: 0,
    electionAtMs: 0,
    votes: new Map(),
    writes: 0,
    stored: 0,
    held: [],
    told: new Map(),
    empty: new Map()
  }
}

/** The step that changes nothing. */
export function keep<S, C> (state: ReplicaState<S, C>): { readonly state: ReplicaState<S, C>, readonly effects: readonly never[] } {
  return { state, effects: [] }
}

/** Continues a step with the next decision. */
export function continueWith<S, C, O> (step: ReplicaStep<S, C, O>, next: (state: ReplicaState<S, C>) => ReplicaStep<S, C, O>): ReplicaStep<S, C, O> {
  const after = next(step.state)
  return { state: after.state, effects: [...step.effects, ...after.effects] }
}

/** Stores records and holds effects back until they are synced. */
export function storeRecords<S, C, O> (state: ReplicaState<S, C>, records: ReadonlyArray<JournalRecord<C>>, held: readonly CoreEffect[]): ReplicaStep<S, C, O> {
  const write = state.writes + 1
  return {
    state: { ...state, writes: write, held: [...state.held, { write, effects: held }] },
    effects: [{ kind: 'journal/append', write, records }]
  }
}

/** Sends an effect as soon as all that was written before it is synced. */
export function sendSynced<S, C, O> (state: ReplicaState<S, C>, effect: CoreEffect): ReplicaStep<S, C, O> {
  if (state.stored === state.writes) return { state, effects: [effect] }
  return { state: { ...state, held: [...state.held, { write: state.writes, effects: [effect] }] }, effects: [] }
}

/** Releases what waited for a write. */
export function takeStored<S, C, O> (state: ReplicaState<S, C>, message: Stored): ReplicaStep<S, C, O> {
  const ready = state.held.filter(held => held.write <= message.write)
  const held = state.held.filter(waiting => waiting.write > message.write)
  return { state: { ...state, held, stored: Math.max(state.stored, message.write) }, effects: ready.flatMap(waiting => waiting.effects) }
}

/** Tells whether this incarnation counts in the quorum. */
export function isMember<S, C> (state: ReplicaState<S, C>): boolean {
  return state.incarnation !== '' && state.log.configuration?.members[state.self] === state.incarnation
}

/** Tells whether a message is of this group and for this incarnation. An empty host takes up any group. */
export function matchesSelf<S, C> (state: ReplicaState<S, C>, message: { readonly group: string, readonly for: string }): boolean {
  if (state.incarnation === '' || message.for !== state.incarnation) return false
  return state.mark.group === undefined || state.mark.group === message.group
}

/** Lists the other replicas of the configuration: hosts, with their incarnations. */
export function listOthers<S, C> (state: ReplicaState<S, C>): ReadonlyArray<readonly [string, string]> {
  const { members = {}, old = {} } = state.log.configuration ?? {}
  const retired = Object.entries(old).filter(([host, incarnation]) => members[host] !== incarnation)
  return [...Object.entries(members), ...retired].filter(([, incarnation]) => incarnation !== state.incarnation)
}

/** Returns the name of a replica: a host that lost its disk is another one. */
export function nameReplica (host: string, incarnation: string): string {
  return `${host}/${incarnation}`
}
