/** Operators' commands, checked when they come in. */
import type { Result } from 'true-myth'
import * as v from 'valibot'
import { parseChecked } from '../core/checkedtext.js'
import type { Finding } from '../core/findings.js'

const Version = v.pipe(v.number(), v.integer('Expected a whole number'), v.minValue(0, 'Expected a number from 0'))

/** Applies a document; `version` is the one that the operator edited, 0 for a new service. */
const ApplySchema = v.pipe(v.strictObject({ name: v.literal('document/apply'), text: v.string(), version: Version, wait: v.optional(v.boolean(), false) }), v.readonly())
/** Returns a document's text and version. */
const ShowSchema = v.pipe(v.strictObject({ name: v.literal('document/show'), service: v.string() }), v.readonly())
/** Lists services with their versions. */
const ListSchema = v.pipe(v.strictObject({ name: v.literal('document/list') }), v.readonly())
/** Tells how far a service's version is in force. */
const StatusSchema = v.pipe(v.strictObject({ name: v.literal('document/status'), service: v.string() }), v.readonly())
/** Makes another database of a group its primary, without losing or refusing a write. */
const MoveSchema = v.pipe(v.strictObject({ name: v.literal('primacy/move'), group: v.string(), database: v.string() }), v.readonly())
/** Tells what the called control host knows of its group. */
const ControlSchema = v.pipe(v.strictObject({ name: v.literal('control/status') }), v.readonly())

/** The schema of all commands. */
export const CommandSchema = v.variant('name', [ApplySchema, ShowSchema, ListSchema, StatusSchema, MoveSchema, ControlSchema])

/**
 * Parses an operator's command.
 * @example parseCommand('{ "name": "document/list" }')
 */
export function parseCommand (text: string): Result<v.InferOutput<typeof CommandSchema>, readonly Finding[]> {
  return parseChecked(text, CommandSchema)
}
