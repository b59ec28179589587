/** The groups that the control hosts agree on. */

/** A group: its members, and its primary with the term. */
export interface GroupRecord {
  readonly term: number
  /** Undefined while the primary changes. */
  readonly primary?: string
  /** The databases whose majority must store a write. */
  readonly members: readonly string[]
}

/** Groups by name. */
export type GroupsTable = Readonly<Record<string, GroupRecord>>

/** Grants a group's term to a primary. */
export interface GrantCommand {
  readonly kind: 'primacy/grant'
  readonly group: string
  readonly term: number
  readonly primary: string
  readonly members: readonly string[]
}

/** Any command about groups. */
export type PrimacyCommand = GrantCommand

/**
 * Applies a command; a grant of an older term changes nothing.
 * @example applyPrimacyCommand({}, { kind: 'primacy/grant', group: 'a', term: 1, primary: 'a1', members: ['a1'] })
 */
export function applyPrimacyCommand (table: GroupsTable, command: PrimacyCommand): GroupsTable {
  const { group, term, primary, members } = command
  const known = table[group]
  if (known !== undefined && known.term >= term) return table
  return { ...table, [group]: { term, primary, members } }
}
