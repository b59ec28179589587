/** Helpers shared by the decisions of the primacy slice: steps, effects, and liveness of databases. */
import { getOwn } from '../core/own.js'
import type { CoreEffect, Step } from '../core/message.js'
import type { DatabaseEffect } from '../databases/driver.js'
import { sendPeer, tell } from '../messages.js'
import { GRANT_LEASE_MS } from '../requests/decide.js'
import type { DatabaseCommand } from './messages.js'
import type { TrackedDatabase, PrimacyState } from './state.js'
import type { GroupRecord, GroupsTable, PrimacyCommand } from './table.js'

/** Maximum relative difference between the rates of two hosts' clocks. */
export const MAX_CLOCK_DRIFT = 0.01
/** Time after a host's heartbeat at which its grant lease has expired, even with clock drift. */
export const LEASE_EXPIRY_MS = GRANT_LEASE_MS * (1 + MAX_CLOCK_DRIFT) + 1
/** Time without an answer after which a database counts as silent, and a primary may be replaced; also the limit for a host's heartbeats. */
export const DATABASE_TIMEOUT_MS = 700
/** Time after which an unanswered command or a lost proposal is sent again. */
const RETRY_INTERVAL_MS = 300

/** The effects of the primacy slice. */
export type PrimacyEffect = CoreEffect | DatabaseEffect
/** A step of the primacy slice. */
export type PrimacyStep = Step<PrimacyState, PrimacyEffect>

/**
 * Runs a decision for each item in sequence and collects the effects.
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
 * Returns a step with an effect, unless an effect of the same name was sent within the retry interval.
 * @example throttle(state, 'fence/a1/4', effect, nowMs)
 */
export function throttle (state: PrimacyState, name: string, effect: PrimacyEffect, nowMs: number): PrimacyStep {
  const sentAtMs = state.lastSentAtMs.get(name)
  if (sentAtMs !== undefined && nowMs - sentAtMs < RETRY_INTERVAL_MS) return { state, effects: [] }
  return { state: { ...state, lastSentAtMs: new Map(state.lastSentAtMs).set(name, nowMs) }, effects: [effect] }
}

/**
 * Proposes a command; repeated calls retry it after the retry interval.
 * @example propose(state, { kind: 'primacy/end', group: 'a', term: 3 }, nowMs)
 */
export function propose (state: PrimacyState, command: PrimacyCommand, nowMs: number): PrimacyStep {
  const name = `${command.kind}/${command.group}/${command.term}`
  return throttle(state, name, tell({ kind: 'agreement/propose', proposal: name, command }), nowMs)
}

/**
 * Sends a command to a database through its owner, if the owner is known.
 * @example sendCommand(state, database, 'fence', 4, nowMs)
 */
export function sendCommand (state: PrimacyState, known: TrackedDatabase | undefined, action: DatabaseCommand['action'], term: number, nowMs: number, source?: string): PrimacyStep {
  if (known?.owner === undefined) return { state, effects: [] }
  const { database, address } = known.entry
  const effect = sendPeer(known.owner, { kind: 'primacy/command', action, database, address, term, source })
  return throttle(state, `${action}/${database}/${term}`, effect, nowMs)
}

/**
 * Creates the effect that publishes a group's grant in the directory.
 * @example publishGroup(table, 'a')
 */
export function publishGroup (table: GroupsTable, group: string): CoreEffect {
  const { term, primary, members, closing } = getOwn(table, group)!
  return tell({ kind: 'membership/publish', entry: { kind: 'grant', group, term, primary, members, closing: closing === undefined ? undefined : true } })
}

/**
 * Checks whether a database answered recently.
 * @example isAnswering(state, 'a1', nowMs)
 */
export function isAnswering (state: PrimacyState, database: string, nowMs: number): boolean {
  const known = state.databases.get(database)
  return known !== undefined && nowMs - known.answeredAtMs < DATABASE_TIMEOUT_MS
}

/**
 * Checks whether more than half of a group's members satisfy a predicate.
 * @example isMajority(record, database => isAnswering(state, database, nowMs))
 */
export function isMajority (record: GroupRecord, satisfies: (database: string) => boolean): boolean {
  return record.members.filter(satisfies).length * 2 > record.members.length
}
