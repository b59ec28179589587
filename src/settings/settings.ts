/** The settings of a host: JSON with comments, validated against a schema. */
import type { Result } from 'true-myth'
import * as v from 'valibot'
import { parseValidJson } from '../core/validjson.js'
import type { Finding } from '../core/findings.js'
import { findDuplicates, readArray, readProperty, type RuleViolation } from '../core/unchecked.js'
import { isAddress, splitAddress } from '../core/address.js'
import { Name } from '../core/names.js'
import { DEFAULT_MEMBERSHIP_TIMING } from '../membership/state.js'
import { POSITION_POLL_INTERVAL_MS } from '../routing/state.js'

const MAX_DURATION_MS = 3_600_000
const MAX_MESSAGE_BYTES = 1_073_741_824
const MAX_QUEUE_LENGTH = 1_000_000

const Address = v.pipe(
  v.string(),
  v.regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:.]+\]):\d{1,5}$/, 'Expected an IP address and a port, such as 127.0.0.1:6000'),
  v.check(isAddress, 'Expected an IP address and a port from 1 to 65535')
)
const ReachableAddress = v.pipe(Address, v.check(address => !isWildcard(address), 'Expected an address at which other hosts can reach this one, not a wildcard'))
const Milliseconds = v.pipe(v.number(), v.integer('Expected a whole number of milliseconds'), v.minValue(1, 'Expected at least 1 ms'), v.maxValue(MAX_DURATION_MS, `Expected at most ${MAX_DURATION_MS} ms`))
const MillisecondsOrZero = v.pipe(v.number(), v.integer('Expected a whole number of milliseconds'), v.minValue(0, 'Expected at least 0 ms'), v.maxValue(MAX_DURATION_MS, `Expected at most ${MAX_DURATION_MS} ms`))
const Bytes = v.pipe(v.number(), v.integer('Expected a whole number of bytes'), v.minValue(1024, 'Expected at least 1024 bytes'), v.maxValue(MAX_MESSAGE_BYTES, `Expected at most ${MAX_MESSAGE_BYTES} bytes`))

const HeldBytes = v.pipe(v.number(), v.integer('Expected a whole number of bytes'), v.minValue(0, 'Expected at least 0 bytes'))
const ConnectionCount = v.pipe(v.number(), v.integer('Expected a whole number'), v.minValue(0, 'Expected at least 0'))
const QueueLength = v.pipe(v.number(), v.integer('Expected a whole number'), v.minValue(1, 'Expected at least 1'), v.maxValue(MAX_QUEUE_LENGTH, `Expected at most ${MAX_QUEUE_LENGTH}`))
const FolderPath = v.pipe(v.string(), v.minLength(1, 'Expected the path of a folder'))
const ControlSchema = v.pipe(
  v.array(v.pipe(v.strictObject({ host: Name, peers: ReachableAddress }), v.readonly())),
  v.minLength(1, 'Expected at least one control host'),
  v.readonly()
)

const LimitsSchema = v.pipe(v.strictObject({
  messageBytes: v.optional(v.pipe(Bytes, v.description('The largest message that a caller may send, in bytes.')), 1_048_576),
  requestMs: v.optional(v.pipe(Milliseconds, v.description('The deadline of a request in milliseconds, when the caller sets none.')), 5_000),
  idleTransactionMs: v.optional(v.pipe(Milliseconds, v.description('How long a transaction may be idle, in milliseconds, before the host ends it.')), 10_000),
  drainMs: v.optional(v.pipe(Milliseconds, v.description('How long a graceful stop may take, in milliseconds.')), 30_000),
  balancerMs: v.optional(v.pipe(MillisecondsOrZero, v.description('How long a stopping host still accepts callers, in milliseconds, until the load balancer has detected that it is not ready.')), 0),
  queueLength: v.optional(v.pipe(QueueLength, v.description('The most requests that may be queued for one database.')), 1_000),
  heldBytes: v.optional(v.pipe(HeldBytes, v.description('The most bytes that connections may hold together, read and not answered or written and not read; 0 takes an eighth of the memory of the process.')), 0),
  connections: v.optional(v.pipe(ConnectionCount, v.description('The most connections that may be open to this host; 0 follows from the descriptors and the memory of the process.')), 0),
  descriptors: v.optional(v.pipe(ConnectionCount, v.description('The descriptors that connections may use. 0 means those that the process sees as its limit; a platform may count others.')), 0),
  startMs: v.optional(v.pipe(Milliseconds, v.description('How long a connection may take, in milliseconds, until its first message is complete.')), 10_000),
  messageMs: v.optional(v.pipe(Milliseconds, v.description('How long the rest of a message may take once it has begun, in milliseconds.')), 30_000),
  unreadMs: v.optional(v.pipe(Milliseconds, v.description('How long a connection may read nothing of an answer, in milliseconds.')), 30_000)
}), v.readonly())

const ColdSchema = v.pipe(v.strictObject({
  excess: v.optional(v.pipe(v.number(), v.minValue(0, 'Expected a number from 0'), v.description('Factor of `coldRate` that all hosts together may send to a cold database in a second.')), 1),
  slack: v.optional(v.pipe(v.number(), v.minValue(0, 'Expected a number from 0'), v.description('Requests in a second beside it.')), 0)
}), v.readonly())

const PlacementSchema = v.pipe(v.strictObject({
  leaveDomain: v.optional(v.pipe(v.boolean(), v.description('Whether a host decides from what it measures when reads leave its failure domain; a fixed cost decides otherwise.')), false),
  priceMsPerKib: v.optional(v.pipe(v.number(), v.minValue(0, 'Expected a number from 0'), v.description('What a KiB between failure domains costs, in milliseconds that a read may wait at home instead.')), 0)
}), v.readonly())

const TimingSchema = v.pipe(v.strictObject({
  beatEveryMs: v.optional(v.pipe(Milliseconds, v.description('The interval between the heartbeats of a host to the leader, in milliseconds.')), DEFAULT_MEMBERSHIP_TIMING.beatEveryMs),
  probeEveryMs: v.optional(v.pipe(Milliseconds, v.description('The interval between the probes of the databases that a host owns, in milliseconds.')), DEFAULT_MEMBERSHIP_TIMING.probeEveryMs),
  quietMs: v.optional(v.pipe(MillisecondsOrZero, v.description('How long a primary may send nothing, in milliseconds, before its status is read.')), DEFAULT_MEMBERSHIP_TIMING.quietMs),
  replicaQuietMs: v.optional(v.pipe(MillisecondsOrZero, v.description('How long a replica may send nothing, in milliseconds, before its status is read.')), DEFAULT_MEMBERSHIP_TIMING.replicaQuietMs),
  announcementHoldsMs: v.optional(v.pipe(Milliseconds, v.description('How long a database is considered present after its last announcement, in milliseconds.')), DEFAULT_MEMBERSHIP_TIMING.announcementHoldsMs),
  evacuateMs: v.optional(v.pipe(Milliseconds, v.description('The time within which the evacuation of a failure domain is in force on every host in contact with the control hosts, in milliseconds. A host in contact that is not confirmed for so long refuses work for its databases.'))),
  askEveryMs: v.optional(v.pipe(Milliseconds, v.description('The interval between requests for the log positions of databases, in milliseconds.')), POSITION_POLL_INTERVAL_MS)
}), v.readonly())

const FailureDomainSchema = v.pipe(v.strictObject({ name: Name, region: v.optional(Name) }), v.readonly())

const TraceSchema = v.pipe(v.strictObject({
  file: v.pipe(v.string(), v.minLength(1, 'Expected the path of a file')),
  slices: v.pipe(v.array(Name), v.minLength(1, 'Expected at least one slice'), v.readonly())
}), v.readonly())

/** The schema of the settings of a host. */
export const SettingsSchema = v.pipe(v.strictObject({
  $schema: v.optional(v.pipe(v.string(), v.description('The location of the JSON Schema, for editors.'))),
  host: Name,
  failureDomain: Name,
  failureDomains: v.optional(v.pipe(v.array(FailureDomainSchema), v.readonly(), v.description('The failure domains of the deployment: operators\' orders may name one before a host or database has announced it, and homes name their regions.')), []),
  callers: v.optional(v.pipe(Address, v.description('The address at which callers connect. A host without it serves no callers and owns no databases.'))),
  peers: v.pipe(ReachableAddress, v.description('The address at which other hosts and databases connect.')),
  operators: v.pipe(Address, v.description('The address at which operators connect, and at which metrics and health are served.')),
  dataFolder: v.optional(v.pipe(FolderPath, v.description('The folder of the replicated log; required on control hosts, not allowed on others.'))),
  control: v.pipe(ControlSchema, v.description('The control hosts, each with its peers address.')),
  forms: v.optional(v.pipe(v.boolean(), v.description('Whether this host may form a new control group when it starts for the first time.')), true),
  voters: v.optional(v.pipe(v.number(), v.integer('Expected a whole number'), v.minValue(0, 'Expected a number from 0'), v.description('The number of control hosts in the group; 0 means those listed. With a larger number, any control host that reaches the group may join it.')), 0),
  authority: v.optional(v.pipe(v.picklist(['leased', 'kept']), v.description('Whether a host without contact to the leader rejects requests that require a key (leased), or keeps serving with the last documents that it received while no majority of the control hosts can be reached (kept).')), 'leased'),
  timing: v.optional(TimingSchema, {}),
  logLevel: v.optional(v.picklist(['debug', 'info', 'warn', 'error']), 'info'),
  trace: v.optional(v.pipe(TraceSchema, v.description('Records the messages of some slices for replay. Off by default, since messages may hold data of callers.'))),
  cold: v.optional(v.pipe(ColdSchema, v.description('How far the requests to a database that came back may exceed the `coldRate` of its group.'))),
  placement: v.optional(PlacementSchema),
  limits: v.optional(LimitsSchema, {})
}), v.readonly())

/** The validated settings of a host. */
export type Settings = v.InferOutput<typeof SettingsSchema>

/**
 * Parses and validates settings.
 * @example parseSettings(await readFile('host.jsonc', 'utf8'))
 * @returns the settings, or all findings with line and column.
 */
export function parseSettings (text: string): Result<Settings, readonly Finding[]> {
  return parseValidJson(text, SettingsSchema, checkRules)
}

function checkRules (value: unknown): readonly RuleViolation[] {
  const control = readArray(value, 'control')
  return [
    ...findDuplicates(readArray(value, 'failureDomains'), ['failureDomains'], 'name'),
    ...findDuplicates(control, ['control'], 'host'),
    ...findDuplicates(control, ['control'], 'peers'),
    ...checkOwnAddresses(value),
    ...checkOwnEntry(value, control)
  ]
}

function checkOwnAddresses (value: unknown): readonly RuleViolation[] {
  const names = ['callers', 'peers', 'operators'] as const
  const addresses = names.map(name => readProperty(value, name))
  return names.flatMap((name, index) => {
    const first = addresses.indexOf(addresses[index])
    if (addresses[index] === undefined || first === index) return []
    return [{ path: [name], text: `The address is also used for "${names[first]!}": choose another one.` }]
  })
}

function checkOwnEntry (value: unknown, control: readonly unknown[]): readonly RuleViolation[] {
  const host = readProperty(value, 'host')
  if (typeof host !== 'string' || control.length === 0) return []
  const index = control.findIndex(entry => readProperty(entry, 'host') === host)
  const hasFolder = readProperty(value, 'dataFolder') !== undefined
  if (index < 0) return hasFolder ? [{ path: ['dataFolder'], text: 'Only a control host may have a data folder: remove it, or list this host under "control".' }] : []
  const missing = hasFolder ? [] : [{ path: ['host'], text: 'A control host requires a data folder: set "dataFolder".' }]
  const peers = readProperty(value, 'peers')
  if (readProperty(control[index], 'peers') === peers) return missing
  return [...missing, { path: ['control', index, 'peers'], text: `The address differs from "peers" of this host: expected ${String(peers)}.` }]
}

function isWildcard (address: string): boolean {
  return ['0.0.0.0', '::'].includes(splitAddress(address)[0])
}
