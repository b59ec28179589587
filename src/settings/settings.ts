/** The settings of a host: JSON with comments, checked by a schema. */
import { Result } from 'true-myth'
import * as v from 'valibot'
import { locateFinding, parseChecked } from '../core/checkedtext.js'
import type { Finding } from '../core/findings.js'

const Name = v.pipe(v.string(), v.regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, 'Expected 1 to 63 letters, digits, dots, hyphens or underscores'))
const Address = v.pipe(v.string(), v.regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/, 'Expected an IP address and a port, such as 127.0.0.1:6000'))
const Milliseconds = v.pipe(v.number(), v.integer('Expected whole milliseconds'), v.minValue(1, 'Expected at least 1 ms'))
const Bytes = v.pipe(v.number(), v.integer('Expected whole bytes'), v.minValue(1024, 'Expected at least 1024 bytes'))

const LimitsSchema = v.pipe(v.strictObject({
  /** The largest message that a caller may send. */
  messageBytes: v.optional(Bytes, 1_048_576),
  /** How long a request may take when the caller states no deadline. */
  requestMs: v.optional(Milliseconds, 5_000),
  /** How long a transaction may wait for its caller. */
  idleTransactionMs: v.optional(Milliseconds, 10_000),
  /** How long a graceful stop may take. */
  drainMs: v.optional(Milliseconds, 30_000),
  /** How many requests may wait for one database. */
  queueLength: v.optional(v.pipe(v.number(), v.integer('Expected a whole number'), v.minValue(1, 'Expected at least 1')), 1_000)
}), v.readonly())

/** The schema of a host's settings. */
export const SettingsSchema = v.pipe(v.strictObject({
  host: Name,
  failureDomain: Name,
  /** Where callers connect. */
  callers: Address,
  /** Where other hosts and databases connect. */
  peers: Address,
  /** Where operators connect, and where metrics and health are read. */
  operators: Address,
  /** Where this host keeps the replicated log; only control hosts have one. */
  dataFolder: v.optional(v.string()),
  /** The control hosts, at their peers' addresses. */
  control: v.pipe(v.array(v.pipe(v.strictObject({ host: Name, peers: Address }), v.readonly())), v.minLength(1, 'Expected at least one control host'), v.readonly()),
  logLevel: v.optional(v.picklist(['debug', 'info', 'warn', 'error']), 'info'),
  limits: v.optional(LimitsSchema, {})
}), v.readonly())

/** The checked settings of a host. */
export type Settings = v.InferOutput<typeof SettingsSchema>

/**
 * Parses and checks settings.
 * @example parseSettings(await readFile('host.jsonc', 'utf8'))
 * @returns the settings, or all findings with line and column.
 */
export function parseSettings (text: string): Result<Settings, readonly Finding[]> {
  const parsed = parseChecked(text, SettingsSchema)
  if (parsed.isErr) return parsed
  const findings = checkControl(text, parsed.value)
  return findings.length === 0 ? parsed : Result.err(findings)
}

function checkControl (text: string, settings: Settings): readonly Finding[] {
  const names = settings.control.map(entry => entry.host)
  const doubled = names.flatMap((name, index) =>
    names.indexOf(name) < index ? [locateFinding(text, ['control', index, 'host'], `Host "${name}" stands twice.`)] : [])
  const listed = names.includes(settings.host)
  if (listed === (settings.dataFolder !== undefined)) return doubled
  const rule = listed ? 'A control host needs a data folder.' : 'Only a control host has a data folder.'
  return [...doubled, locateFinding(text, listed ? ['host'] : ['dataFolder'], rule)]
}
