/** Schemas of the operators' commands, and their validation. */
import type { Result } from 'true-myth'
import * as v from 'valibot'
import { parseValidJson } from '../core/validjson.js'
import { Token } from '../core/names.js'
import type { Finding } from '../core/findings.js'

/** Large enough for a document of maximum length in which every character is escaped. */
const MAX_COMMAND_LENGTH = 2_097_152
const MAX_NAME_LENGTH = 200
const MAX_SINCE_MS = 86_400_000

const Version = v.pipe(v.number(), v.integer('Expected a whole number'), v.minValue(0, 'Expected a number from 0'))
const ShortName = v.pipe(v.string(), v.minLength(1, 'Expected a name'), v.maxLength(MAX_NAME_LENGTH, `Expected at most ${MAX_NAME_LENGTH} characters`))
const Since = v.pipe(v.number(), v.minValue(0, 'Expected milliseconds from 0'), v.maxValue(MAX_SINCE_MS, `Expected at most ${MAX_SINCE_MS} ms`))

/** Applies a document; `version` is the one that the edit is based on, 0 for a new service. */
const ApplySchema = v.pipe(v.strictObject({ name: v.literal('document/apply'), text: v.string(), version: Version, wait: v.optional(v.boolean(), false) }), v.readonly())
/** Returns a document's text and version. */
const ShowSchema = v.pipe(v.strictObject({ name: v.literal('document/show'), service: ShortName }), v.readonly())
/** Lists services with their versions. */
const ListSchema = v.pipe(v.strictObject({ name: v.literal('document/list') }), v.readonly())
/** Returns the rollout status of a service's current version. */
const DocumentStatusSchema = v.pipe(v.strictObject({ name: v.literal('document/status'), service: ShortName }), v.readonly())
/** Returns the called control host's view of its group. */
const ControlStatusSchema = v.pipe(v.strictObject({ name: v.literal('control/status') }), v.readonly())
/** Makes a database the primary of its group. */
const MoveSchema = v.pipe(v.strictObject({ name: v.literal('primary/move'), group: ShortName, database: ShortName }), v.readonly())
/** Takes a host out of service. */
const DrainSchema = v.pipe(v.strictObject({ name: v.literal('host/drain'), host: ShortName }), v.readonly())
/** Begins the evacuation of a failure domain: its databases get no more requests. */
const BeginEvacuationSchema = v.pipe(v.strictObject({ name: v.literal('evacuation/begin'), domain: Token }), v.readonly())

/** Ends the evacuation of a failure domain. */
const EndEvacuationSchema = v.pipe(v.strictObject({ name: v.literal('evacuation/end'), domain: Token }), v.readonly())

/** Returns hosts, databases, groups and the revision in force; with `local`, in the called host's view. */
const StatusSchema = v.pipe(v.strictObject({ name: v.literal('status'), local: v.optional(v.boolean(), false) }), v.readonly())
/** Returns the merged timelines of all processes. */
const TimelineSchema = v.pipe(v.strictObject({ name: v.literal('timeline/read'), sinceMs: Since, request: v.optional(ShortName), group: v.optional(ShortName) }), v.readonly())

/** The schema of all commands. */
export const CommandSchema = v.variant('name', [ApplySchema, ShowSchema, ListSchema, DocumentStatusSchema, ControlStatusSchema, MoveSchema, DrainSchema, BeginEvacuationSchema, EndEvacuationSchema, StatusSchema, TimelineSchema])

/**
 * Parses and validates an operator's command.
 * @example parseCommand('{ "name": "document/list" }')
 */
export function parseCommand (text: string): Result<v.InferOutput<typeof CommandSchema>, readonly Finding[]> {
  return parseValidJson(text, CommandSchema, undefined, MAX_COMMAND_LENGTH)
}
