/** Converts the subset of valibot that settings and documents use into JSON Schema. */
import type * as v from 'valibot'

/** A JSON Schema or a subschema. */
export type JsonSchema = Readonly<Record<string, unknown>>

type Part = v.GenericSchema | v.GenericPipeItem

interface AnyPart {
  readonly type: string
  readonly pipe?: readonly Part[]
  readonly entries?: Readonly<Record<string, v.GenericSchema>>
  readonly item?: v.GenericSchema
  readonly wrapped?: v.GenericSchema
  readonly default?: unknown
  readonly options?: readonly unknown[]
  readonly requirement?: unknown
  readonly description?: string
}

/** Valibot actions that JSON Schema cannot express; the daemon and the command line enforce them. */
const INEXPRESSIBLE_ACTIONS: ReadonlySet<string> = new Set(['readonly', 'check'])

/**
 * Creates the JSON Schema of a valibot schema.
 * @example createJsonSchema(v.strictObject({ host: v.string() })).type // 'object'
 * @throws if the schema contains a valibot schema or action that this converter does not support.
 */
export function createJsonSchema (schema: v.GenericSchema): JsonSchema {
  const { pipe } = schema as unknown as AnyPart
  if (pipe === undefined) return createPart(schema as unknown as AnyPart)
  return pipe.reduce((merged: JsonSchema, part) => ({
    ...merged,
    ...(part.kind === 'schema' ? createJsonSchema(part as v.GenericSchema) : createPart(part as unknown as AnyPart, merged.type))
  }), {})
}

function createPart (part: AnyPart, type?: unknown): JsonSchema {
  if (INEXPRESSIBLE_ACTIONS.has(part.type)) return {}
  switch (part.type) {
    case 'strict_object': return createObject(part.entries!)
    case 'array': return { type: 'array', items: createJsonSchema(part.item!) }
    case 'optional': return { ...createJsonSchema(part.wrapped!), ...(part.default === undefined ? {} : { default: part.default }) }
    case 'string':
    case 'number':
    case 'boolean': return { type: part.type }
    case 'picklist': return { enum: part.options }
    case 'regex': return { pattern: (part.requirement as RegExp).source }
    case 'integer': return { type: 'integer' }
    case 'min_value': return { minimum: part.requirement }
    case 'max_value': return { maximum: part.requirement }
    case 'gt_value': return { exclusiveMinimum: part.requirement }
    case 'min_length': return type === 'array' ? { minItems: part.requirement } : { minLength: part.requirement }
    case 'description': return { description: part.description }
    default: throw new Error(`the JSON Schema converter does not support the valibot type "${part.type}"`)
  }
}

function createObject (entries: Readonly<Record<string, v.GenericSchema>>): JsonSchema {
  const names = Object.keys(entries)
  return {
    type: 'object',
    additionalProperties: false,
    required: names.filter(name => entries[name]!.type !== 'optional'),
    properties: Object.fromEntries(names.map(name => [name, createJsonSchema(entries[name]!)]))
  }
}
