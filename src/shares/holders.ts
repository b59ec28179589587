/** Replicated table of the holders of shares. It tells a new leader which hosts have to report before it grants shares. */

/** Last registered holder id of each host. */
export type HoldersTable = Readonly<Record<string, string>>

/** Registers a holder before it is granted anything. It replaces the host's previous holder id, whose shares are void. */
export interface RegisterCommand {
  readonly kind: 'shares/register'
  readonly host: string
  readonly holder: string
}

/**
 * Applies a registration.
 * @example applyRegisterCommand({}, { kind: 'shares/register', host: 'host-1', holder: 'a1' }) // { 'host-1': 'a1' }
 */
export function applyRegisterCommand (table: HoldersTable, { host, holder }: RegisterCommand): HoldersTable {
  return table[host] === holder ? table : { ...table, [host]: holder }
}
