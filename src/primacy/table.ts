/** The replicated table of groups, and the commands of the log that change it. */
import { comparePositions, type LogPosition } from '../core/position.js'
import { assertInvariant } from '../core/invariant.js'
import { getOwn } from '../core/own.js'

/** A database that was fenced at the term of a change, so that it refuses all lower terms, and its last log position. */
export interface FencedMember {
  readonly database: string
  readonly position: LogPosition
}

/** A primary change in progress. */
export interface GroupChange {
  /** The term of the next primary. */
  readonly term: number
  /**
   * Ending: hosts may still hold leases of the old grant. Fencing: all leases have expired,
   * and a majority has to be fenced. Promoting: the next primary is chosen.
   */
  readonly phase: 'ending' | 'fencing' | 'promoting'
  /** The preferred next primary, in a planned change. */
  readonly target?: string
  /** The members of the next term, if they change. */
  readonly members?: readonly string[]
  /** The next primary; set while promoting. */
  readonly chosen?: string
}

/** A group of databases: its members, and its primary with the term. */
export interface GroupRecord {
  /** The last granted term. */
  readonly term: number
  /** Undefined during a primary change. */
  readonly primary?: string
  /** The databases whose majority must store a write. */
  readonly members: readonly string[]
  /** The target of a planned change: the primary finishes running work and accepts no new work. */
  readonly closing?: string
  /** The members of the next term, in a planned change that changes them. */
  readonly nextMembers?: readonly string[]
  readonly change?: GroupChange
}

/** Groups by name. */
export type GroupsTable = Readonly<Record<string, GroupRecord>>

/** Forms a group: grants its first term to its first primary. */
export interface GrantCommand {
  readonly kind: 'primacy/grant'
  readonly group: string
  readonly term: number
  readonly primary: string
  readonly members: readonly string[]
}

/** Begins a planned change: the primary stops accepting work. */
export interface CloseGroupCommand {
  readonly kind: 'primacy/close'
  readonly group: string
  readonly term: number
  readonly target: string
  /** The members of the next term, one more or one less than now; absent if they stay. */
  readonly members?: readonly string[]
}

/** Cancels a planned change that has not ended the grant yet. */
export interface ReopenGroupCommand {
  readonly kind: 'primacy/reopen'
  readonly group: string
  readonly term: number
}

/** Ends the grant of a term. */
export interface EndGrantCommand {
  readonly kind: 'primacy/end'
  readonly group: string
  readonly term: number
}

/** Records that no host holds a lease of the old grant any more. */
export interface GrantEndedCommand {
  readonly kind: 'primacy/ended'
  readonly group: string
  /** The term of the change. */
  readonly term: number
}

/** Chooses the next primary from a fenced majority. */
export interface ChoosePrimaryCommand {
  readonly kind: 'primacy/choose'
  readonly group: string
  readonly term: number
  readonly primary: string
  readonly fenced: readonly FencedMember[]
}

/** Records that the chosen database was promoted: its grant begins. */
export interface PrimaryPromotedCommand {
  readonly kind: 'primacy/promoted'
  readonly group: string
  readonly term: number
  readonly primary: string
}

/** Restarts fencing at a higher term because the change cannot complete at the current one. */
export interface RefenceCommand {
  readonly kind: 'primacy/refence'
  readonly group: string
  readonly term: number
  readonly next: number
}

/** Any command of the groups table. */
export type PrimacyCommand =
  | GrantCommand
  | CloseGroupCommand
  | ReopenGroupCommand
  | EndGrantCommand
  | GrantEndedCommand
  | ChoosePrimaryCommand
  | PrimaryPromotedCommand
  | RefenceCommand

/**
 * Applies a command; one that does not match the group's term and phase is ignored.
 * @example applyPrimacyCommand({}, { kind: 'primacy/grant', group: 'a', term: 1, primary: 'a1', members: ['a1'] })
 */
export function applyPrimacyCommand (table: GroupsTable, command: PrimacyCommand): GroupsTable {
  const known = getOwn(table, command.group)
  const next = known === undefined ? createGroup(command) : applyToGroup(known, command)
  if (next === undefined || next === known) return table
  assertValidTransition(known, next)
  return { ...table, [command.group]: next }
}

function createGroup (command: PrimacyCommand): GroupRecord | undefined {
  if (command.kind !== 'primacy/grant') return undefined
  const { term, primary, members } = command
  return { term, primary, members }
}

function applyToGroup (known: GroupRecord, command: PrimacyCommand): GroupRecord {
  switch (command.kind) {
    case 'primacy/grant': return known
    case 'primacy/close': return closeGroup(known, command)
    case 'primacy/reopen': return isGranted(known, command.term) ? { ...known, closing: undefined, nextMembers: undefined } : known
    case 'primacy/end': return isGranted(known, command.term) ? endGrant(known) : known
    default: return known.change?.term === command.term ? advanceChange(known, known.change, command) : known
  }
}

function advanceChange (known: GroupRecord, change: GroupChange, command: GrantEndedCommand | ChoosePrimaryCommand | PrimaryPromotedCommand | RefenceCommand): GroupRecord {
  switch (command.kind) {
    case 'primacy/ended': return change.phase === 'ending' ? { ...known, change: { ...change, phase: 'fencing' } } : known
    case 'primacy/choose':
      if (change.phase !== 'fencing' || !isSafeToPromote(known.members, command.primary, command.fenced)) return known
      return { ...known, change: { ...change, phase: 'promoting', chosen: command.primary } }
    case 'primacy/promoted':
      if (change.phase !== 'promoting' || change.chosen !== command.primary) return known
      return { term: change.term, primary: command.primary, members: selectMembers(known, change, command.primary) }
    case 'primacy/refence':
      if (change.phase === 'ending' || command.next <= change.term) return known
      return { ...known, change: { term: command.next, phase: 'fencing', target: change.target, members: change.members } }
  }
}

function isGranted (known: GroupRecord, term: number): boolean {
  return known.term === term && known.primary !== undefined
}

function closeGroup (known: GroupRecord, command: CloseGroupCommand): GroupRecord {
  const { term, target, members } = command
  const isChange = members === undefined ? known.primary !== target : isSingleMemberChange(known.members, members)
  const isApplicable = isGranted(known, term) && known.closing === undefined && known.members.includes(target) && isChange
  return isApplicable ? { ...known, closing: target, nextMembers: members } : known
}

// With a single change, any majority of the current members overlaps any majority of the next ones.
function isSingleMemberChange (current: readonly string[], next: readonly string[]): boolean {
  const added = next.filter(member => !current.includes(member))
  const removed = current.filter(member => !next.includes(member))
  return added.length + removed.length === 1 && next.length > 0
}

// The fenced majority may yield a primary that was about to leave; then the members stay.
function selectMembers (known: GroupRecord, change: GroupChange, primary: string): readonly string[] {
  return change.members?.includes(primary) === true ? change.members : known.members
}

function endGrant (known: GroupRecord): GroupRecord {
  const change: GroupChange = { term: known.term + 1, phase: 'ending', target: known.closing, members: known.nextMembers }
  return { term: known.term, members: known.members, change }
}

/**
 * Checks whether a database may be promoted: it belongs to a fenced majority, of which none has a later position.
 * @example isSafeToPromote(['a1', 'a2', 'a3'], 'a2', fenced)
 */
export function isSafeToPromote (members: readonly string[], chosen: string, fenced: readonly FencedMember[]): boolean {
  const positions = new Map(fenced.filter(member => members.includes(member.database)).map(member => [member.database, member.position]))
  const position = positions.get(chosen)
  if (position === undefined || positions.size * 2 <= members.length) return false
  return [...positions.values()].every(other => comparePositions(other, position) <= 0)
}

// Terms only grow, each term has one grant, and only a member is primary.
function assertValidTransition (known: GroupRecord | undefined, next: GroupRecord): void {
  const { term, primary, members, change } = next
  assertInvariant(primary === undefined || members.includes(primary), 'a primary is a member of its group', primary)
  assertInvariant((primary === undefined) === (change !== undefined), 'a group has a primary or a change')
  assertInvariant(change === undefined || change.term > term, 'a change has a term above the last grant')
  if (known === undefined) return
  assertInvariant(term >= known.term && (change?.term ?? term) >= (known.change?.term ?? known.term), 'terms only grow')
  assertInvariant(term > known.term || known.members.join() === members.join(), 'members change with the term alone')
  assertInvariant(term > known.term || primary === undefined || primary === known.primary, 'a term is granted once')
}
