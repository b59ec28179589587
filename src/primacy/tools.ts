/** What the decisions of the primacy slice share: effects, steps, and who can be relied on. */
import type { CoreEffect, Step } from '../core/message.js'
import type { DatabaseEffect } from '../databases/driver.js'
import { sendPeer, tell } from '../messages.js'
import { GRANT_LEASE_MS } from '../requests/decide.js'
import type { Command } from './messages.js'
import type { KnownDatabase, PrimacyState } from './state.js'
import type { GroupRecord, GroupsTable, PrimacyCommand } from './table.js'

/** Largest difference between the rates of two hosts' clocks. */
const CLOCK_RATE_BOUND = 0.01
/** After this time since a host asked, its lease has surely ended. */
export const LEASE_OVER_MS = GRANT_LEASE_MS * (1 + CLOCK_RATE_BOUND) + 1
/** How long a primary may be silent before it is replaced. */
export const SILENT_MS = 700
/** Time until an unanswered command or a lost proposal is sent again. */
const AGAIN_MS = 300

/** The effects of the primacy slice. */
export type PrimacyEffect = CoreEffect | DatabaseEffect
/** A step of the primacy slice. */
export type PrimacyStep = Step<PrimacyState, PrimacyEffect>

/**
 * Runs decisions one after another and collects their effects.
 * @example runAll(state, Object.keys(state.table), checkGroup)
 */
export function runAll<T> (state: PrimacyState, items: Iterable<T>, decide: (state: PrimacyState, item: T) => PrimacyStep): PrimacyStep {
  let step: PrimacyStep = { state, effects: [] }
  for (const item of items) {
    const next = decide(step.state, item)
    step = { state: next.state, effects: [...step.effects, ...next.effects] }
  }
  return step
}

/**
 * Sends an effect unless the same one left a short while ago.
 * @example askOnce(state, 'fence/a1/4', effect, nowMs)
 */
export function askOnce (state: PrimacyState, name: string, effect: PrimacyEffect, nowMs: number): PrimacyStep {
  const askedAtMs = state.askedAtMs.get(name)
  if (askedAtMs !== undefined && nowMs - askedAtMs < AGAIN_MS) return { state, effects: [] }
  return { state: { ...state, askedAtMs: new Map(state.askedAtMs).set(name, nowMs) }, effects: [effect] }
}

/**
 * Proposes a command, again after a time if it was lost.
 * @example propose(state, { kind: 'primacy/end', group: 'a', term: 3 }, nowMs)
 */
export function propose (state: PrimacyState, command: PrimacyCommand, nowMs: number): PrimacyStep {
  const name = `${command.kind}/${command.group}/${command.term}`
  return askOnce(state, name, tell({ kind: 'agreement/propose', proposal: name, command }), nowMs)
}

/**
 * Sends a command to a database through its owner.
 * @example sendCommand(state, database, 'fence', 4, nowMs)
 */
export function sendCommand (state: PrimacyState, known: KnownDatabase | undefined, action: Command['action'], term: number, nowMs: number, source?: string): PrimacyStep {
  if (known?.owner === undefined) return { state, effects: [] }
  const { database, address } = known.entry
  const effect = sendPeer(known.owner, { kind: 'primacy/command', action, database, address, term, source })
  return askOnce(state, `${action}/${database}/${term}`, effect, nowMs)
}

/**
 * Creates the effect that puts a group's grant into the directory.
 * @example publishGroup(table, 'a')
 */
export function publishGroup (table: GroupsTable, group: string): CoreEffect {
  const { term, primary, members, closing } = table[group]!
  return tell({ kind: 'membership/publish', entry: { kind: 'grant', group, term, primary, members, closing: closing === undefined ? undefined : true } })
}

/**
 * Tells whether a database answered lately.
 * @example isAnswering(state, 'a1', nowMs)
 */
export function isAnswering (state: PrimacyState, database: string, nowMs: number): boolean {
  const known = state.databases.get(database)
  return known !== undefined && nowMs - known.answeredAtMs < SILENT_MS
}

/**
 * Tells whether more than half of a group's members pass a test.
 * @example isMajority(record, database => isAnswering(state, database, nowMs))
 */
export function isMajority (record: GroupRecord, passes: (database: string) => boolean): boolean {
  return record.members.filter(passes).length * 2 > record.members.length
}
