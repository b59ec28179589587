/** Reads values that may not match their schema, so that rules that span several values are checked along with it. */

/** A violated rule: the path of the value, and what is wrong with it. */
export interface RuleViolation {
  readonly path: ReadonlyArray<string | number>
  readonly text: string
}

/**
 * Returns an own property of a value, or undefined when there is none.
 * @example readProperty({ host: 'a' }, 'host') // 'a'
 */
export function readProperty (value: unknown, name: string): unknown {
  const present = typeof value === 'object' && value !== null && Object.hasOwn(value, name)
  return present ? (value as Readonly<Record<string, unknown>>)[name] : undefined
}

/**
 * Returns a property that is an array, or an empty array when there is none.
 * @example readArray({ routes: [] }, 'routes') // []
 */
export function readArray (value: unknown, name: string): readonly unknown[] {
  const items = readProperty(value, name)
  return Array.isArray(items) ? items : []
}

/**
 * Finds items that repeat an earlier item's value of one property.
 * @example findDuplicates([{ name: 'a' }, { name: 'a' }], ['routes'], 'name') // [{ path: ['routes', 1, 'name'], ... }]
 */
export function findDuplicates (items: readonly unknown[], path: RuleViolation['path'], name: string): readonly RuleViolation[] {
  const seen = new Set<unknown>()
  return items.flatMap((item, index) => {
    const value = readProperty(item, name)
    const isDuplicate = typeof value === 'string' && seen.has(value)
    seen.add(value)
    return isDuplicate ? [{ path: [...path, index, name], text: `The ${name} "${String(value)}" occurs twice: rename or remove one.` }] : []
  })
}
