/** State and messages of one log replica. Generic and free of I/O, so that other programs can embed it. */
import type { CoreEffect, Effect, Message, Step } from '../core/message.js'
import { createLog, type Entry, type Log, type LogCommand, type LogPoint, type Snapshot } from './log.js'

/** Interval between two heartbeats of a leader. */
export const HEARTBEAT_INTERVAL_MS = 100
/** The shortest election timeout: a host that heard its leader votes for no other candidate until it has passed. */
export const MIN_ELECTION_TIMEOUT_MS = 500
/** The random part of the election timeout. */
export const ELECTION_JITTER_MS = 400
/**
 * Lease of a leader, counted from when it sent a message that a majority answered. A fifth shorter than
 * MIN_ELECTION_TIMEOUT_MS, which bounds the tolerated drift between two clocks' rates.
 */
export const LEADER_LEASE_MS = 400
/** The promise that a leader asks for while control hosts are short of processor time, in place of MIN_ELECTION_TIMEOUT_MS. */
export const LOADED_HOLD_MS = 1_500
/** The lease of a leader as a fraction of the promise that it rests on. */
export const LEASE_FRACTION = LEADER_LEASE_MS / MIN_ELECTION_TIMEOUT_MS
/** Delay between the pre-votes of successive control hosts at a cold start: two round trips and a tick. */
export const COLD_START_STAGGER_MS = 100
/** Interval of the periodic tick. */
export const TICK_INTERVAL_MS = 50

/** The state that a replica must persist besides its entries. */
export interface HardState {
  readonly group?: string
  readonly term: number
  readonly votedFor?: string
  /** The longest promise that this host gave to a leader, if longer than MIN_ELECTION_TIMEOUT_MS: after a restart it waits for so long. */
  readonly promisedMs?: number
}

/** One journal record. */
export type JournalRecord<C> =
  | { readonly kind: 'mark', readonly mark: HardState }
  | { readonly kind: 'entry', readonly entry: Entry<C> }

/** The state recovered from the journal at the start. */
export interface RecoveredState<S, C> {
  /** Random identifier, drawn when the data folder was created. */
  readonly incarnation: string
  readonly mark: HardState
  readonly snapshot?: Snapshot<S>
  readonly entries: ReadonlyArray<Entry<C>>
}

/** Appends records to the journal, which posts `agreement/stored` once they are synced. */
export interface AppendRecords<C> extends Effect {
  readonly kind: 'journal/append'
  readonly write: number
  readonly records: ReadonlyArray<JournalRecord<C>>
}

/** Replaces all earlier records by a snapshot and the records that follow it. */
export interface StoreSnapshot<S, C> extends Effect {
  readonly kind: 'journal/snapshot'
  readonly write: number
  readonly snapshot: Snapshot<S>
  readonly records: ReadonlyArray<JournalRecord<C>>
}

/** A committed command was applied. */
export interface CommandApplied<S, C, O> extends Effect {
  readonly kind: 'replica/applied'
  /** The proposal, if this host made it in the current term. */
  readonly proposal?: string
  readonly command: C
  readonly outcome: O
  readonly state: S
}

/** The leader changed in the view of this replica; `leader` is absent if none is known. */
export interface LeaderChanged<S> extends Effect {
  readonly kind: 'replica/leader'
  readonly leader?: string
  readonly term: number
  readonly state: S
}

/** This host leads, and its lease was extended. */
export interface LeaseExtended extends Effect {
  readonly kind: 'replica/lease'
  readonly untilMs: number
}

/** Effects of a replica. */
export type ReplicaEffect<S, C, O> = CoreEffect | AppendRecords<C> | StoreSnapshot<S, C> | CommandApplied<S, C, O> | LeaderChanged<S> | LeaseExtended

/** The next state and the effects of a decision. */
export type ReplicaStep<S, C, O> = Step<ReplicaState<S, C>, ReplicaEffect<S, C, O>>

/** Fields of every message between replicas. */
interface PeerMessage extends Message {
  /** The sending host. */
  readonly from?: string
  /** The incarnation of the host that formed the group. */
  readonly group: string
  readonly term: number
  /** The monotonic time of the requesting host; echoed in the response. */
  readonly sentAtMs: number
}

/** A candidate requests a vote or, as a pre-vote, asks whether it would get one. */
export interface VoteRequest extends PeerMessage {
  readonly kind: 'agreement/vote-asked'
  readonly pre: boolean
  /** Set if the candidate has heard no leader since its process started, and expects the same of all other members. */
  readonly cold?: true
  /** The incarnation that the request is for. */
  readonly for: string
  readonly last: LogPoint
}

/** The response of a voter. */
export interface VoteResponse extends PeerMessage {
  readonly kind: 'agreement/vote-answered'
  readonly pre: boolean
  readonly granted: boolean
  /** Set if the vote is granted only because the voter has heard no leader since its process started. */
  readonly cold?: true
  readonly incarnation: string
  /** The voter's current term. */
  readonly known: number
}

/** The promise to vote for no other candidate, counted from the receipt of a leader's message. */
interface Promised {
  /** How long it holds, in milliseconds; MIN_ELECTION_TIMEOUT_MS if absent. The answer repeats it, so that the leader's lease rests on it. */
  readonly holdMs?: number
}

/** The leader's heartbeat, with new entries if there are any. */
export interface AppendRequest<C> extends PeerMessage, Promised {
  readonly kind: 'agreement/append'
  readonly for: string
  readonly previous: LogPoint
  readonly entries: ReadonlyArray<Entry<C>>
  readonly committed: number
}

/** One chunk of the leader's snapshot. */
export interface SnapshotChunk extends PeerMessage, Promised {
  readonly kind: 'agreement/install'
  readonly for: string
  readonly index: number
  readonly offset: number
  /** A substring of the snapshot's JSON, from `offset` on. */
  readonly text: string
  readonly done: boolean
}

/** A follower's response: up to which entry its synced log matches the leader's. */
export interface AppendResponse extends PeerMessage, Promised {
  readonly kind: 'agreement/appended'
  readonly incarnation: string
  readonly accepted: boolean
  /** The last matching entry; if not accepted, the last entry that may match. */
  readonly index: number
  /** True while the follower is short of processor time. */
  readonly loaded?: true
}

/** A follower's response to a snapshot chunk. */
export interface SnapshotChunkResponse extends PeerMessage, Promised {
  readonly kind: 'agreement/installed'
  readonly incarnation: string
  readonly index: number
  readonly offset: number
}

/** A control host that belongs to no quorum, or knows no leader, asks for membership. */
export interface MembershipRequest extends Message {
  readonly kind: 'agreement/waiting'
  readonly from?: string
  /** The requesting host, if another host forwards the request. */
  readonly host?: string
  readonly incarnation: string
  /** Absent while the host is empty, that is, belongs to no group. */
  readonly group?: string
  /** The incarnation of the receiving host, if the sender is empty and has received its request. */
  readonly heard?: string
}

/** All writes up to this one were synced. */
export interface RecordsSynced extends Message {
  readonly kind: 'agreement/stored'
  readonly write: number
}

/** The periodic tick is due. */
export interface Tick extends Message {
  readonly kind: 'agreement/tick'
}

/** Limits of one replica. */
export interface ReplicaLimits {
  /** Committed entries since the last snapshot that trigger the next one. */
  readonly snapshotEvery: number
  /** Bytes of entries since the last snapshot that trigger the next one. */
  readonly snapshotBytes: number
  /** Entries before the snapshot that are kept for slightly lagging followers. */
  readonly entriesKept: number
  /** Bytes of entries before the snapshot that are kept at most: a follower that lacks more gets the snapshot. */
  readonly bytesKept: number
  /** Maximum bytes of entries or of a snapshot in one message; a larger entry is sent alone. */
  readonly messageBytes: number
}

/** The limits of a control host. */
export const DEFAULT_LIMITS: ReplicaLimits = { snapshotEvery: 1_000, snapshotBytes: 16_777_216, entriesKept: 256, bytesKept: 4_194_304, messageBytes: 262_144 }

/** The process has started. */
export interface ReplicaStarted<S, C> extends Message {
  readonly kind: 'agreement/started'
  readonly self: string
  readonly control: readonly string[]
  /** False if this start must not form a group, whatever the other hosts report; defaults to true. */
  readonly forms?: boolean
  /** Target number of members; defaults to the number that formed the group. */
  readonly voters?: number
  /** Absent on a host that keeps no log. */
  readonly recovered?: RecoveredState<S, C>
  readonly limits?: ReplicaLimits
}

/** A slice on the leader proposes a command for the log. */
export interface Propose<C> extends Message {
  readonly kind: 'agreement/propose'
  /** Chosen by the proposing slice; returned when the command is applied. */
  readonly proposal: string
  readonly command: C
}

/** Any message of a replica. */
export type ReplicaMessage<S, C> =
  | AppendRequest<C> | AppendResponse | SnapshotChunk | SnapshotChunkResponse | Propose<C> | ReplicaStarted<S, C>
  | RecordsSynced | Tick | VoteResponse | VoteRequest | MembershipRequest

/** A snapshot in transfer to a follower. */
export interface OutgoingSnapshot extends LogPoint {
  readonly text: string
  readonly offset: number
}

/** A leader's view of one replica. */
export interface Progress {
  readonly host: string
  readonly incarnation: string
  /** Index up to which the replica has synced the leader's entries. */
  readonly matched: number
  readonly nextIndex: number
  /** When the last answered message was sent. */
  readonly contactAtMs: number
  /** Until when this replica's promises carry the leader's lease; an earlier promise may last longer than the latest one. */
  readonly leaseUntilMs: number
  readonly outgoingSnapshot?: OutgoingSnapshot
}

/** State that only a leader has. */
export interface LeaderState {
  /** Progress by replica name. */
  readonly progress: ReadonlyMap<string, Progress>
  /** Index of the leader's first entry of its term. */
  readonly firstIndex: number
  /** Whether the first entry is committed. */
  readonly established: boolean
  readonly proposals: ReadonlyMap<number, string>
  readonly electedAtMs: number
  readonly heartbeatAtMs: number
  /** The commit index at the previous heartbeat; a replica that has synced it counts as caught up. */
  readonly heartbeatCommitted: number
}

/** Effects that are released once a write is synced. */
export interface HeldEffects {
  readonly write: number
  readonly effects: readonly CoreEffect[]
}

/** A vote granted to this host. */
export interface Vote {
  readonly incarnation: string
  readonly sentAtMs: number
  readonly cold?: true
}

/** State of a replica. */
export interface ReplicaState<S, C> {
  readonly self: string
  readonly control: readonly string[]
  readonly mayFormGroup: boolean
  /** Target number of members; 0 for the current number. */
  readonly voters: number
  /** Empty on a host that keeps no log. */
  readonly incarnation: string
  readonly limits: ReplicaLimits
  readonly hardState: HardState
  readonly log: Log<S, C>
  readonly committed: number
  /** The state machine's state after the last committed entry. */
  readonly applied: S
  /** `asking` while a pre-vote runs. */
  readonly role: 'follower' | 'asking' | 'candidate' | 'leader'
  /** The leader of the current term. */
  readonly leader?: string
  /** When a leader was last heard. A vote for another host and the start of the process count as contact, too. */
  readonly leaderContactAtMs: number
  /** True until this process hears a leader or votes; until then, no leader's lease can rest on this process. */
  readonly coldStart: boolean
  readonly startedAtMs: number
  /** When the last periodic tick was handled; shows how late this host's loop is. */
  readonly tickedAtMs?: number
  /** Counts late ticks, and falls with time. */
  readonly lateTicks: number
  /** Until then this host counts as short of processor time. */
  readonly loadedUntilMs: number
  /** Until then this host votes for no candidate, as it promised to leaders or may have promised before it started. */
  readonly promisedUntilMs: number
  readonly electionDueAtMs: number
  /** Votes for this host by voter, with the time of the request. */
  readonly votes: ReadonlyMap<string, Vote>
  readonly leaderState?: LeaderState
  readonly lastWrite: number
  readonly syncedWrite: number
  readonly heldEffects: readonly HeldEffects[]
  readonly incomingSnapshot?: { readonly from: string, readonly index: number, readonly text: string }
  /** The incarnation that each control host reported in its last membership request. */
  readonly knownIncarnations: ReadonlyMap<string, string>
  /** Control hosts that reported to be empty, recorded while this host is empty itself. */
  readonly emptyHosts: ReadonlyMap<string, { readonly incarnation: string, readonly heard?: string, readonly atMs: number }>
}

/**
 * Creates the state of a replica that has not started.
 * @example createReplicaState(CatalogMachine.create().initial).committed // 0
 */
export function createReplicaState<S, C extends LogCommand> (initial: S): ReplicaState<S, C> {
  return {
    self: '',
    control: [],
    mayFormGroup: true,
    voters: 0,
    incarnation: '',
    limits: DEFAULT_LIMITS,
    hardState: { term: 0 },
    log: createLog<S, C>({ index: 0, term: 0, state: initial }, []),
    committed: 0,
    applied: initial,
    role: 'follower',
    leaderContactAtMs: 0,
    lateTicks: 0,
    loadedUntilMs: 0,
    promisedUntilMs: 0,
    coldStart: false,
    startedAtMs: 0,
    electionDueAtMs: 0,
    votes: new Map(),
    lastWrite: 0,
    syncedWrite: 0,
    heldEffects: [],
    knownIncarnations: new Map(),
    emptyHosts: new Map()
  }
}

/** Tells whether this host, or a follower of it, has lately been short of processor time. */
export function isLoaded<S, C> ({ tickedAtMs, loadedUntilMs }: ReplicaState<S, C>): boolean {
  return tickedAtMs !== undefined && tickedAtMs < loadedUntilMs
}

/** Returns a step to a state without effects. */
export function keepState<S, C> (state: ReplicaState<S, C>): { readonly state: ReplicaState<S, C>, readonly effects: readonly never[] } {
  return { state, effects: [] }
}

/** Chains a step with the next decision, and concatenates their effects. */
export function continueWith<S, C, O> (step: ReplicaStep<S, C, O>, next: (state: ReplicaState<S, C>) => ReplicaStep<S, C, O>): ReplicaStep<S, C, O> {
  const after = next(step.state)
  return { state: after.state, effects: [...step.effects, ...after.effects] }
}

/** Writes records to the journal, and holds effects back until the records are synced. */
export function storeRecords<S, C, O> (state: ReplicaState<S, C>, records: ReadonlyArray<JournalRecord<C>>, held: readonly CoreEffect[]): ReplicaStep<S, C, O> {
  const write = state.lastWrite + 1
  return {
    state: { ...state, lastWrite: write, heldEffects: [...state.heldEffects, { write, effects: held }] },
    effects: [{ kind: 'journal/append', write, records }]
  }
}

/** Releases an effect once all earlier writes are synced; at once if they are. */
export function sendAfterSync<S, C, O> (state: ReplicaState<S, C>, effect: CoreEffect): ReplicaStep<S, C, O> {
  if (state.syncedWrite === state.lastWrite) return { state, effects: [effect] }
  return { state: { ...state, heldEffects: [...state.heldEffects, { write: state.lastWrite, effects: [effect] }] }, effects: [] }
}

/** Releases the effects that waited for a write. */
export function releaseSyncedEffects<S, C, O> (state: ReplicaState<S, C>, message: RecordsSynced): ReplicaStep<S, C, O> {
  const ready = state.heldEffects.filter(held => held.write <= message.write)
  const heldEffects = state.heldEffects.filter(waiting => waiting.write > message.write)
  return { state: { ...state, heldEffects, syncedWrite: Math.max(state.syncedWrite, message.write) }, effects: ready.flatMap(waiting => waiting.effects) }
}

/** Tells whether this incarnation is a voting member. */
export function isMember<S, C> (state: ReplicaState<S, C>): boolean {
  return state.incarnation !== '' && state.log.configuration?.members[state.self] === state.incarnation
}

/** Tells whether a message is for this incarnation and its group. An empty host accepts any group. */
export function matchesSelf<S, C> (state: ReplicaState<S, C>, message: { readonly group: string, readonly for: string }): boolean {
  if (state.incarnation === '' || message.for !== state.incarnation) return false
  return state.hardState.group === undefined || state.hardState.group === message.group
}

/** Lists the other members of the configuration as pairs of host and incarnation; during a change, old members too. */
export function listOthers<S, C> (state: ReplicaState<S, C>): ReadonlyArray<readonly [string, string]> {
  const { members = {}, old = {} } = state.log.configuration ?? {}
  const retired = Object.entries(old).filter(([host, incarnation]) => members[host] !== incarnation)
  return [...Object.entries(members), ...retired].filter(([, incarnation]) => incarnation !== state.incarnation)
}

/** Returns the name of a replica. A host that lost its disk is another replica. */
export function nameReplica (host: string, incarnation: string): string {
  return `${host}/${incarnation}`
}
