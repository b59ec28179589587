/** Random schedules of a caller, its session and the reasons to end it. RUNS and SEED choose how many, and the first one. */
import type { Socket } from 'node:net'
import { expect } from 'chai'
import type { CallerProtocol, Tail } from './callerprotocol.js'
import { ScriptedCaller } from './scriptedcaller.js'
import { SimulatedClock } from './simulatedclock.js'
import { CALLER, SimulatedHost } from './simulatedhost.js'
import { createRandom } from './stepqueue.js'

const RUNS = Number(process.env.RUNS ?? 300)
const FIRST_SEED = Number(process.env.SEED ?? 1)
/** Longer than all operations, and the silence after them, take. */
const RUN_MS = 60_000
/** By when a reason to end the session takes effect, if no statement triggers it. */
const REASON_MS = 3_000
/** How many moments of a session may trigger a reason to end it. */
const REASON_MOMENTS = 80
const TAILED_STATEMENTS = 12
const LONG_STOP_MS = 10_000
const SHORT_STOP_MS = 800
/** The first numbers of seeds that follow each other are alike. */
const SKIPPED_NUMBERS = 16

/** Why a host ends a session. */
export type HostReason = 'withdrawal' | 'stop' | 'short stop' | 'end of a stop'

/** Why a session ends in a schedule, beside its caller's own reasons. */
export interface Reasons {
  readonly host: readonly HostReason[]
  readonly tail?: Tail
}

interface RunOutcome {
  readonly violations: readonly string[]
  readonly allowedEnds: readonly string[]
  readonly answered: number
}

/** Runs one schedule, determined by its seed. */
async function runSchedule (protocol: CallerProtocol, seed: number, { host: hostReasons, tail }: Reasons): Promise<RunOutcome> {
  const random = createRandom(seed)
  for (let skipped = 0; skipped < SKIPPED_NUMBERS; skipped++) random()
  const clock = SimulatedClock.create()
  const host = SimulatedHost.create({
    clock,
    random,
    encodeAnswer: protocol.encodeAnswer,
    readId: protocol.readId
  })
  // Half of the reasons come at a moment of the session, so that they cross what it reads and writes then.
  const atMoments = hostReasons.map(reason => ({ reason, moment: random() < 0.5 ? Math.floor(random() * REASON_MOMENTS) : undefined }))
  let moments = 0
  const caller = ScriptedCaller.create({
    clock,
    random,
    host,
    protocol,
    onMoment: () => {
      moments += 1
      for (const { reason, moment } of atMoments) if (moment === moments) applyReason(host, reason, random)
    },
    tail: tail === undefined ? undefined : { kind: tail, behind: 1 + Math.floor(random() * TAILED_STATEMENTS) }
  })
  caller.observer.socket.on('close', () => host.dropSession())
  host.setSession(protocol.createSession({ caller: CALLER, socket: caller.observer.socket as unknown as Socket, post: host.post, clock }))
  for (const { reason, moment } of atMoments) if (moment === undefined) clock.schedule(random() * REASON_MS, () => applyReason(host, reason, random))
  caller.start()
  await clock.runUntil(RUN_MS)
  caller.observer.checkOutcomes()
  return { violations: caller.observer.violations, allowedEnds: caller.allowedEnds, answered: caller.observer.answered }
}

function applyReason (host: SimulatedHost, reason: HostReason, random: () => number): void {
  switch (reason) {
    case 'withdrawal': return host.withdrawKey()
    case 'stop': return host.stop(LONG_STOP_MS)
    case 'short stop': return host.stop(Math.max(100, random() * SHORT_STOP_MS))
    case 'end of a stop': return host.stop(0)
  }
}

/**
 * Runs all schedules with one choice of reasons, and returns how often each guarantee was violated, with the first seed.
 * @example await findViolations(WireProtocol.create(), () => ({ host: ['withdrawal'] }))
 */
export async function findViolations (protocol: CallerProtocol, createReasons: (seed: number) => Reasons): Promise<Readonly<Record<string, string>>> {
  const seeds = new Map<string, number[]>()
  const allowedEnds = new Map<string, number>()
  let answered = 0
  for (let seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed++) {
    const outcome = await runSchedule(protocol, seed, createReasons(seed))
    answered += outcome.answered
    for (const violation of new Set(outcome.violations)) seeds.set(violation, [...(seeds.get(violation) ?? []), seed])
    for (const end of outcome.allowedEnds) allowedEnds.set(end, (allowedEnds.get(end) ?? 0) + 1)
  }
  if (process.env.SHOW !== undefined) process.stdout.write(`${JSON.stringify({ answered, allowedEnds: Object.fromEntries(allowedEnds) })}\n`)
  expect(answered).to.be.greaterThan(RUNS)
  return Object.fromEntries([...seeds].map(([violation, found]) => [violation, `${found.length} of ${RUNS} schedules, first seed ${found[0]}`]))
}
