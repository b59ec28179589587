/** What differs between two versions of a document, by name and in words. */
import type { ServiceDocument } from './document.js'

interface Named {
  readonly name: string
}

const LISTS = [['groups', 'Group'], ['workspaces', 'Workspace'], ['routes', 'Route']] as const

/**
 * Lists the differences between two versions of a document. Keys are named by their id; their hashes are not shown.
 * @example compareDocuments(inForce, edited) // ['Route views: latencyMs is 600, was 500.']
 */
export function compareDocuments (before: ServiceDocument, after: ServiceDocument): readonly string[] {
  const { groups: _groups, workspaces: _workspaces, routes: _routes, $schema: _schema, ...general } = after
  return [
    ...compareFields('The service', before, general),
    ...LISTS.flatMap(([list, kind]) => compareLists(kind, before[list], after[list]))
  ]
}

function compareLists (kind: string, before: readonly Named[], after: readonly Named[]): readonly string[] {
  const known = new Map(before.map(item => [item.name, item]))
  const left = new Set(after.map(({ name }) => name))
  return [
    ...after.flatMap(item => compareItems(`${kind} ${item.name}`, known.get(item.name), item)),
    ...before.filter(({ name }) => !left.has(name)).map(({ name }) => `${kind} ${name} is removed.`)
  ]
}

function compareItems (title: string, before: Named | undefined, after: Named): readonly string[] {
  return before === undefined ? [`${title} is new.`] : compareFields(title, before, after)
}

function compareFields (title: string, before: object, after: object): readonly string[] {
  const values = (item: object): Readonly<Record<string, unknown>> => item as Readonly<Record<string, unknown>>
  const lists: readonly string[] = LISTS.map(([list]) => list)
  const names = [...new Set([...Object.keys(before), ...Object.keys(after)])].filter(name => name !== '$schema' && !lists.includes(name))
  return names.flatMap(name => compareValues(title, name, values(before)[name], values(after)[name]))
}

function compareValues (title: string, name: string, before: unknown, after: unknown): readonly string[] {
  if (JSON.stringify(before) === JSON.stringify(after)) return []
  if (name === 'keys') return compareKeys(title, before as readonly Key[], after as readonly Key[])
  return [`${title}: ${name} is ${formatValue(after)}, was ${formatValue(before)}.`]
}

interface Key {
  readonly id: string
  readonly sha256: string
}

function compareKeys (title: string, before: readonly Key[], after: readonly Key[]): readonly string[] {
  const isIn = (keys: readonly Key[], { sha256 }: Key): boolean => keys.some(key => key.sha256 === sha256)
  return [
    ...after.filter(key => !isIn(before, key)).map(({ id }) => `${title}: key ${id} is granted.`),
    ...before.filter(key => !isIn(after, key)).map(({ id }) => `${title}: key ${id} is withdrawn.`)
  ]
}

function formatValue (value: unknown): string {
  return value === undefined ? 'not set' : Array.isArray(value) ? value.join(', ') : String(value)
}
