/** The groups that the control hosts agree on, and the commands that change them. */
import { comparePositions, type LogPosition } from '../core/position.js'
import { assertInvariant } from '../core/invariant.js'

/** A database that refuses all terms below a change's, and where its log ends. */
export interface FencedMember {
  readonly database: string
  readonly position: LogPosition
}

/** A change of primary that is under way. */
export interface GroupChange {
  /** The term that the next primary gets. */
  readonly term: number
  /**
   * Ending: hosts may still rely on the former grant. Fencing: none does, and a majority
   * is to be fenced. Promoting: the next primary is chosen.
   */
  readonly phase: 'ending' | 'fencing' | 'promoting'
  /** The database that an operator wants, while it can be had. */
  readonly target?: string
  /** The members from the next term on, if they change. */
  readonly members?: readonly string[]
  /** Set in the phase of promoting. */
  readonly chosen?: string
}

/** A group: its members, and its primary with the term. */
export interface GroupRecord {
  /** The last granted term. */
  readonly term: number
  /** Undefined while the primary changes. */
  readonly primary?: string
  /** The databases whose majority must store a write. */
  readonly members: readonly string[]
  /** The target of a planned change: what runs at the primary may end, and nothing new begins. */
  readonly closing?: string
  /** The members from the next term on, in a planned change that changes them. */
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

/** Begins a planned change: new work at the primary stops. */
export interface CloseCommand {
  readonly kind: 'primacy/close'
  readonly group: string
  readonly term: number
  readonly target: string
  /** The members from the next term on: one more or one less than now; absent when they stay. */
  readonly members?: readonly string[]
}

/** Gives up a planned change that has not ended the grant yet. */
export interface ReopenCommand {
  readonly kind: 'primacy/reopen'
  readonly group: string
  readonly term: number
}

/** Ends the grant of a term. */
export interface EndCommand {
  readonly kind: 'primacy/end'
  readonly group: string
  readonly term: number
}

/** No host relies on the former grant any more. */
export interface EndedCommand {
  readonly kind: 'primacy/ended'
  readonly group: string
  /** The term of the change. */
  readonly term: number
}

/** Chooses the next primary among a fenced majority. */
export interface ChooseCommand {
  readonly kind: 'primacy/choose'
  readonly group: string
  readonly term: number
  readonly primary: string
  readonly fenced: readonly FencedMember[]
}

/** The chosen database is primary of the change's term: its grant begins. */
export interface PromotedCommand {
  readonly kind: 'primacy/promoted'
  readonly group: string
  readonly term: number
  readonly primary: string
}

/** Fences anew at a higher term, since the change at the present one can't be finished. */
export interface RefenceCommand {
  readonly kind: 'primacy/refence'
  readonly group: string
  readonly term: number
  readonly next: number
}

/** Any command about groups. */
export type PrimacyCommand =
  | GrantCommand
  | CloseCommand
  | ReopenCommand
  | EndCommand
  | EndedCommand
  | ChooseCommand
  | PromotedCommand
  | RefenceCommand

/**
 * Applies a command; one that does not fit the group's term and phase changes nothing.
 * @example applyPrimacyCommand({}, { kind: 'primacy/grant', group: 'a', term: 1, primary: 'a1', members: ['a1'] })
 */
export function applyPrimacyCommand (table: GroupsTable, command: PrimacyCommand): GroupsTable {
  const known = table[command.group]
  const next = known === undefined ? createGroup(command) : changeGroup(known, command)
  if (next === undefined || next === known) return table
  checkSuccession(known, next)
  return { ...table, [command.group]: next }
}

function createGroup (command: PrimacyCommand): GroupRecord | undefined {
  if (command.kind !== 'primacy/grant') return undefined
  const { term, primary, members } = command
  return { term, primary, members }
}

function changeGroup (known: GroupRecord, command: PrimacyCommand): GroupRecord {
  switch (command.kind) {
    case 'primacy/grant': return known
    case 'primacy/close': return closeGroup(known, command)
    case 'primacy/reopen': return isGranted(known, command.term) ? { ...known, closing: undefined, nextMembers: undefined } : known
    case 'primacy/end': return isGranted(known, command.term) ? endGrant(known) : known
    default: return known.change?.term === command.term ? advanceChange(known, known.change, command) : known
  }
}

function advanceChange (known: GroupRecord, change: GroupChange, command: EndedCommand | ChooseCommand | PromotedCommand | RefenceCommand): GroupRecord {
  switch (command.kind) {
    case 'primacy/ended': return change.phase === 'ending' ? { ...known, change: { ...change, phase: 'fencing' } } : known
    case 'primacy/choose':
      if (change.phase !== 'fencing' || !isChoiceSafe(known.members, command.primary, command.fenced)) return known
      return { ...known, change: { ...change, phase: 'promoting', chosen: command.primary } }
    case 'primacy/promoted':
      if (change.phase !== 'promoting' || change.chosen !== command.primary) return known
      return { term: change.term, primary: command.primary, members: pickMembers(known, change, command.primary) }
    case 'primacy/refence':
      if (change.phase === 'ending' || command.next <= change.term) return known
      return { ...known, change: { term: command.next, phase: 'fencing', target: change.target, members: change.members } }
  }
}

function isGranted (known: GroupRecord, term: number): boolean {
  return known.term === term && known.primary !== undefined
}

function closeGroup (known: GroupRecord, command: CloseCommand): GroupRecord {
  const { term, target, members } = command
  const moves = members === undefined ? known.primary !== target : isNextMembers(known.members, members)
  const fits = isGranted(known, term) && known.closing === undefined && known.members.includes(target) && moves
  return fits ? { ...known, closing: target, nextMembers: members } : known
}

// Any majority of the one shares a database with any majority of the other.
function isNextMembers (present: readonly string[], next: readonly string[]): boolean {
  const added = next.filter(member => !present.includes(member))
  const removed = present.filter(member => !next.includes(member))
  return added.length + removed.length === 1 && next.length > 0
}

// The fenced majority may lead to a database that was to leave: then it stays.
function pickMembers (known: GroupRecord, change: GroupChange, primary: string): readonly string[] {
  return change.members?.includes(primary) === true ? change.members : known.members
}

function endGrant (known: GroupRecord): GroupRecord {
  const change: GroupChange = { term: known.term + 1, phase: 'ending', target: known.closing, members: known.nextMembers }
  return { term: known.term, members: known.members, change }
}

/**
 * Tells whether a database may be promoted: it is in a fenced majority, of which none has a later position.
 * @example isChoiceSafe(['a1', 'a2', 'a3'], 'a2', fenced)
 */
export function isChoiceSafe (members: readonly string[], chosen: string, fenced: readonly FencedMember[]): boolean {
  const counted = new Map(fenced.filter(member => members.includes(member.database)).map(member => [member.database, member.position]))
  const position = counted.get(chosen)
  if (position === undefined || counted.size * 2 <= members.length) return false
  return [...counted.values()].every(other => comparePositions(other, position) <= 0)
}

/** Terms only grow, one grant a term, and only a member is primary. */
function checkSuccession (known: GroupRecord | undefined, next: GroupRecord): void {
  const { term, primary, members, change } = next
  assertInvariant(primary === undefined || members.includes(primary), 'a primary is a member of its group', primary)
  assertInvariant((primary === undefined) === (change !== undefined), 'a group has a primary or a change')
  assertInvariant(change === undefined || change.term > term, 'a change has a term above the last grant')
  if (known === undefined) return
  assertInvariant(term >= known.term && (change?.term ?? term) >= (known.change?.term ?? known.term), 'terms only grow')
  assertInvariant(term > known.term || known.members.join() === members.join(), 'members change with the term alone')
  assertInvariant(term > known.term || primary === undefined || primary === known.primary, 'a term is granted once')
}
