#!/usr/bin/env node
/** The demo: a whole deployment on loopback, under load, with a primary that goes. */
import { mkdir, mkdtemp, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Command, Option } from 'commander'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { Caller } from './caller.js'
import { readDeployment, type Deployment, type DeploymentName } from './deployment.js'
import { startFault, type FaultName } from './fault.js'
import { startSystem, type RunningSystem } from './system.js'
import { findGap, Tally } from './tally.js'
import { checkWrites, type Verdict } from './verify.js'
import { sleep } from './sleep.js'

const EXIT_BROKEN = 1
const CALLERS_PER_WORKSPACE = 4
/** The part of a workspace's rate that its callers send. */
const LOAD_SHARE = 0.5
/** Statements of the mean request: half reads, some transactions of four. */
const STATEMENTS_PER_REQUEST = 1.45
const HOLD_CHECK_MS = 1_000

interface Options {
  readonly seconds: string
  readonly service: DeploymentName
  readonly fault: FaultName
  readonly seed: string
  readonly hold?: boolean
  readonly describe?: string
  readonly directory?: string
}

interface Summary {
  readonly service: DeploymentName
  readonly fault: FaultName
  readonly seconds: number
  readonly statements: number
  readonly writesAcknowledged: number
  readonly writesLost: number
  readonly writesDoubled: number
  readonly writesUnknown: number
  readonly readsFromReplicas: number
  readonly reads: number
  readonly staleReadsAgainstOwnSession: number
  readonly refusedWithinRate: number
  readonly failoverGapMs: number
  readonly worstWorkspaceShare: number
  readonly failures: Readonly<Record<string, number>>
}

const program = new Command('demo')
  .description('Starts a whole deployment on loopback, puts load on it, and lets a primary go.')
  .option('--seconds <count>', 'how long the load runs', '15')
  .addOption(new Option('--service <name>', 'the deployment').choices(['atelier', 'ramillete']).default('atelier'))
  .addOption(new Option('--fault <name>', 'how the primary goes').choices(['kill', 'freeze', 'cut', 'none']).default('kill'))
  .option('--seed <number>', 'the seed of the callers\' choices', '1')
  .option('--hold', 'keeps the system running without load until SIGINT')
  .option('--describe <file>', 'writes the addresses of the running system as JSON')
  .option('--directory <folder>', 'where logs and data go; a temporary folder when absent')
  .addHelpText('after', '\nThe exit code is 0 when nothing was lost, doubled, or stale to its own session; otherwise 1.')

program.parse()
await run(program.opts<Options>())

async function run (options: Options): Promise<void> {
  const directory = options.directory ?? await mkdtemp(join(tmpdir(), 'fulmartally-demo-'))
  await mkdir(directory, { recursive: true })
  const deployment = await readDeployment(options.service)
  let broken: boolean
  {
    await using system = await startSystem(deployment, directory)
    if (options.describe !== undefined) await writeFile(options.describe, JSON.stringify(describeSystem(deployment, system), undefined, 2))
    broken = options.hold === true ? await holdSystem(directory) : await runLoad(options, deployment, system)
  }
  process.exit(broken ? EXIT_BROKEN : 0)
}

async function holdSystem (directory: string): Promise<boolean> {
  console.log(`The system runs; logs are in ${directory}. SIGINT ends it.`)
  const timer = setInterval(() => undefined, HOLD_CHECK_MS)
  await new Promise<void>(resolve => {
    process.once('SIGINT', resolve)
    process.once('SIGTERM', resolve)
  })
  clearInterval(timer)
  return false
}

async function runLoad (options: Options, deployment: Deployment, system: RunningSystem): Promise<boolean> {
  const seconds = Number(options.seconds)
  const tally = Tally.create()
  let stopped = false
  const callers = createCallers(deployment, system, tally, Number(options.seed), () => stopped)
  const running = Promise.all(callers.map(caller => caller.run()))
  await sleep(seconds * 500)
  const fault = startFault(options.fault, system.databases)
  await sleep(seconds * 350)
  fault?.end()
  await sleep(seconds * 150)
  stopped = true
  const endedAtMs = performance.now()
  await running
  const verdict = await checkWrites(deployment, system.hosts, tally.writes)
  const gapMs = fault === undefined ? 0 : findGap(tally.writes, fault.group, fault.atMs, endedAtMs)
  const summary = createSummary(options, tally, verdict, gapMs)
  showSummary(summary)
  return summary.writesLost > 0 || summary.writesDoubled > 0 || summary.staleReadsAgainstOwnSession > 0 || summary.writesAcknowledged === 0
}

function createCallers (deployment: Deployment, system: RunningSystem, tally: Tally, seed: number, stopped: () => boolean): readonly Caller[] {
  return deployment.workspaces.flatMap((workspace, index) => Array.from({ length: CALLERS_PER_WORKSPACE }, (_, number) => {
    const generator = xoroshiro128plus(seed * 1_000 + index * CALLERS_PER_WORKSPACE + number)
    return Caller.create({
      name: `${workspace.name}-${number + 1}`,
      deployment,
      workspace,
      hosts: system.hosts,
      tally,
      rate: workspace.rate * LOAD_SHARE / STATEMENTS_PER_REQUEST / CALLERS_PER_WORKSPACE,
      random: () => uniformFloat64(generator),
      stopped
    })
  }))
}

function createSummary (options: Options, tally: Tally, verdict: Verdict, gapMs: number): Summary {
  return {
    service: options.service,
    fault: options.fault,
    seconds: Number(options.seconds),
    statements: tally.statements,
    writesAcknowledged: tally.writes.length,
    writesLost: verdict.lost,
    writesDoubled: verdict.doubled,
    writesUnknown: tally.unknownWrites,
    readsFromReplicas: tally.readsFromReplicas,
    reads: tally.reads,
    staleReadsAgainstOwnSession: tally.staleReads,
    refusedWithinRate: tally.refusedWithinRate,
    failoverGapMs: Math.round(gapMs),
    worstWorkspaceShare: Math.round(tally.worstWorkspaceShare * 10_000) / 10_000,
    failures: tally.failures
  }
}

function showSummary (summary: Summary): void {
  const share = summary.reads === 0 ? 0 : Math.round(100 * summary.readsFromReplicas / summary.reads)
  console.log(`${summary.service}: ${summary.statements} statements in ${summary.seconds} s; the primary's fault: ${summary.fault}.`)
  console.log(`Writes: ${summary.writesAcknowledged} acknowledged, ${summary.writesLost} lost, ${summary.writesDoubled} doubled, ${summary.writesUnknown} with unknown outcome.`)
  console.log(`Reads: ${summary.reads}, ${share}% from replicas, ${summary.staleReadsAgainstOwnSession} stale to their own session.`)
  console.log(`Gap in writes: ${summary.failoverGapMs} ms. Refused within rate: ${summary.refusedWithinRate}. Worst workspace: ${summary.worstWorkspaceShare}.`)
  console.log(JSON.stringify(summary))
}

function describeSystem (deployment: Deployment, system: RunningSystem): unknown {
  return {
    hosts: system.hosts.map(host => ({
      name: host.plan.name,
      failureDomain: host.plan.failureDomain,
      callers: host.addresses.callers,
      operators: host.addresses.operators,
      pid: host.process.child.pid,
      dataFolder: host.dataFolder
    })),
    databases: system.databases.map(({ plan, address, process: { child } }) => ({ name: plan.name, group: plan.group, failureDomain: plan.failureDomain, address, pid: child.pid })),
    service: deployment.service,
    workspaces: deployment.workspaces.map(({ name, key, rate, burst }) => ({ name, key, rate, burst })),
    routes: (JSON.parse(deployment.documentText) as { routes: unknown }).routes
  }
}
