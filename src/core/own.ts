/** Reads of tables that are plain objects. */

/**
 * Returns an object's own value; undefined for inherited names such as `constructor`, which a key from outside may be.
 * @example getOwn({ a: 1 }, 'constructor') // undefined
 */
export function getOwn<T> (values: Readonly<Record<string, T>>, key: string): T | undefined {
  return Object.hasOwn(values, key) ? values[key] : undefined
}
