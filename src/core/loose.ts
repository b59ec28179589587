/** Reads values whose shape is not checked yet, so that rules between values report with all other findings. */

/** A place in a value, and what is wrong there. */
export interface LocatedText {
  readonly path: ReadonlyArray<string | number>
  readonly text: string
}

/**
 * Returns a property of a value, undefined when there is none.
 * @example readProperty({ host: 'a' }, 'host') // 'a'
 */
export function readProperty (value: unknown, name: string): unknown {
  const known = typeof value === 'object' && value !== null && Object.hasOwn(value, name)
  return known ? (value as Readonly<Record<string, unknown>>)[name] : undefined
}

/**
 * Returns a property that is a list, empty when there is none.
 * @example readItems({ routes: [] }, 'routes') // []
 */
export function readItems (value: unknown, name: string): readonly unknown[] {
  const items = readProperty(value, name)
  return Array.isArray(items) ? items : []
}

/**
 * Finds items of a list that have the same value at a name.
 * @example listDoubled([{ name: 'a' }, { name: 'a' }], ['routes'], 'name') // [{ path: ['routes', 1, 'name'], ... }]
 */
export function listDoubled (items: readonly unknown[], path: LocatedText['path'], name: string): readonly LocatedText[] {
  const seen = new Set<unknown>()
  return items.flatMap((item, index) => {
    const value = readProperty(item, name)
    const doubled = typeof value === 'string' && seen.has(value)
    seen.add(value)
    return doubled ? [{ path: [...path, index, name], text: `The ${name} "${String(value)}" stands twice.` }] : []
  })
}
