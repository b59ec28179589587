/** Homes: the regions in which requests of a route or a workspace may run. */
import { readArray, readProperty, type RuleViolation } from '../core/unchecked.js'

/** The region of each failure domain that has one. */
export type Regions = ReadonlyMap<string, string>

/** Stands for the region of a failure domain without one: no home has this name. */
const NO_REGION = ''

/**
 * Creates the map of regions from the failure domains of the settings.
 * @example createRegions([{ name: 'east-1', region: 'east' }]).get('east-1') // 'east'
 */
export function createRegions (failureDomains: ReadonlyArray<{ readonly name: string, readonly region?: string }>): Regions {
  return new Map(failureDomains.flatMap(({ name, region }) => (region === undefined ? [] : [[name, region] as const])))
}

/**
 * Merges the homes of a route and a workspace: both bind. Undefined if neither has any.
 * @example mergeHomes(['east', 'west'], ['west']) // ['west']
 */
export function mergeHomes (one: readonly string[] | undefined, other: readonly string[] | undefined): readonly string[] | undefined {
  if (one === undefined || other === undefined) return one ?? other
  return one.filter(region => other.includes(region))
}

/**
 * Lists the regions of failure domains.
 * @example listRegions(new Map([['east-1', 'east']]), ['east-1', 'west-1']) // ['east', '']
 */
export function listRegions (regions: Regions, domains: readonly string[]): readonly string[] {
  return domains.map(domain => regions.get(domain) ?? NO_REGION)
}

/**
 * Tells whether all regions are homes. Where none are known, nothing is at home.
 * @example isAtHome(['east'], ['east', '']) // false
 */
export function isAtHome (homes: readonly string[] | undefined, regions: readonly string[] = [NO_REGION]): boolean {
  return homes === undefined || regions.every(region => homes.includes(region))
}

/**
 * Lists the homes in a document that no failure domain has. Tolerates values that don't match the schema.
 * @example findUnknownHomes(document, createRegions(settings.failureDomains)).map(({ text }) => text)
 */
export function findUnknownHomes (document: unknown, regions: Regions): readonly RuleViolation[] {
  const known = new Set<unknown>(regions.values())
  return ['workspaces', 'routes'].flatMap(list => readArray(document, list).flatMap((item, index) =>
    readArray(item, 'homes').flatMap((home, position) => (known.has(home)
      ? []
      : [{ path: [list, index, 'homes', position], text: `No failure domain is in region "${String(home)}" (${list === 'routes' ? 'route' : 'workspace'} ${String(readProperty(item, 'name'))}): check the name, or add the failure domain to the settings.` }]))))
}
