#!/usr/bin/env node
/** The demo: a complete deployment on loopback under load, in which a primary fails. */
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
import { findLongestGap, LoadStatistics } from './statistics.js'
import { verifyWrites, type VerificationResult } from './verify.js'
import { sleep } from './sleep.js'

const EXIT_VERIFICATION_FAILED = 1
const CALLERS_PER_WORKSPACE = 4
/** The fraction of a workspace's rate limit that its callers use. */
const LOAD_FRACTION = 0.5
/** Half of the requests are reads, 35% single writes, and 15% transactions of four statements. */
const MEAN_STATEMENTS_PER_REQUEST = 1.45
const KEEP_ALIVE_INTERVAL_MS = 1_000

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
  .description('Starts a complete deployment on loopback, generates load and makes a primary fail.')
  .option('--seconds <count>', 'the duration of the load in seconds', '15')
  .addOption(new Option('--service <name>', 'the deployment to start').choices(['atelier', 'ramillete']).default('atelier'))
  .addOption(new Option('--fault <name>', 'how the primary fails').choices(['kill', 'freeze', 'cut', 'none']).default('kill'))
  .option('--seed <number>', 'the random seed of the callers', '1')
  .option('--hold', 'keeps the system running without load until SIGINT or SIGTERM')
  .option('--describe <file>', 'writes a JSON description of the running system, with its addresses, to this file')
  .option('--directory <folder>', 'the folder for logs and data; a temporary folder by default')
  .addHelpText('after', '\nThe exit code is 0 if writes were acknowledged, none was lost or duplicated, and no session missed its own writes; otherwise 1.')

program.parse()
await run(program.opts<Options>())

async function run (options: Options): Promise<void> {
  const directory = options.directory ?? await mkdtemp(join(tmpdir(), 'fulmartally-demo-'))
  await mkdir(directory, { recursive: true })
  const deployment = await readDeployment(options.service)
  let failed: boolean
  {
    await using system = await startSystem(deployment, directory)
    if (options.describe !== undefined) await writeFile(options.describe, JSON.stringify(describeSystem(deployment, system), undefined, 2))
    failed = options.hold === true ? await holdSystem(directory) : await runLoad(options, deployment, system)
  }
  process.exit(failed ? EXIT_VERIFICATION_FAILED : 0)
}

async function holdSystem (directory: string): Promise<boolean> {
  console.log(`The system is running; logs are in ${directory}. Stop it with SIGINT.`)
  const timer = setInterval(() => undefined, KEEP_ALIVE_INTERVAL_MS)
  await new Promise<void>(resolve => {
    process.once('SIGINT', resolve)
    process.once('SIGTERM', resolve)
  })
  clearInterval(timer)
  return false
}

async function runLoad (options: Options, deployment: Deployment, system: RunningSystem): Promise<boolean> {
  const seconds = Number(options.seconds)
  const statistics = LoadStatistics.create()
  let stopped = false
  const callers = createCallers(deployment, system, statistics, Number(options.seed), () => stopped)
  const running = Promise.all(callers.map(caller => caller.run()))
  await sleep(seconds * 500)
  const fault = startFault(options.fault, system.databases)
  await sleep(seconds * 350)
  fault?.end()
  await sleep(seconds * 150)
  stopped = true
  const endedAtMs = performance.now()
  await running
  const verification = await verifyWrites(deployment, system.hosts, statistics.writes)
  const gapMs = fault === undefined ? 0 : findLongestGap(statistics.writes, fault.group, fault.atMs, endedAtMs)
  const summary = createSummary(options, statistics, verification, gapMs)
  showSummary(summary)
  return summary.writesLost > 0 || summary.writesDoubled > 0 || summary.staleReadsAgainstOwnSession > 0 || summary.writesAcknowledged === 0
}

function createCallers (deployment: Deployment, system: RunningSystem, statistics: LoadStatistics, seed: number, stopped: () => boolean): readonly Caller[] {
  return deployment.workspaces.flatMap((workspace, index) => Array.from({ length: CALLERS_PER_WORKSPACE }, (_, number) => {
    const generator = xoroshiro128plus(seed * 1_000 + index * CALLERS_PER_WORKSPACE + number)
    return Caller.create({
      name: `${workspace.name}-${number + 1}`,
      deployment,
      workspace,
      hosts: system.hosts,
      statistics,
      rate: workspace.rate * LOAD_FRACTION / MEAN_STATEMENTS_PER_REQUEST / CALLERS_PER_WORKSPACE,
      random: () => uniformFloat64(generator),
      stopped
    })
  }))
}

function createSummary (options: Options, statistics: LoadStatistics, verification: VerificationResult, gapMs: number): Summary {
  return {
    service: options.service,
    fault: options.fault,
    seconds: Number(options.seconds),
    statements: statistics.statements,
    writesAcknowledged: statistics.writes.length,
    writesLost: verification.lost,
    writesDoubled: verification.doubled,
    writesUnknown: statistics.unknownWrites,
    readsFromReplicas: statistics.readsFromReplicas,
    reads: statistics.reads,
    staleReadsAgainstOwnSession: statistics.staleReads,
    refusedWithinRate: statistics.refusedWithinRate,
    failoverGapMs: Math.round(gapMs),
    worstWorkspaceShare: Math.round(statistics.worstWorkspaceShare * 10_000) / 10_000,
    failures: statistics.failures
  }
}

function showSummary (summary: Summary): void {
  const share = summary.reads === 0 ? 0 : Math.round(100 * summary.readsFromReplicas / summary.reads)
  console.log(`${summary.service}: ${summary.statements} statements in ${summary.seconds} s; fault of the primary: ${summary.fault}.`)
  console.log(`Writes: ${summary.writesAcknowledged} acknowledged, ${summary.writesLost} lost, ${summary.writesDoubled} duplicated, ${summary.writesUnknown} with unknown outcome.`)
  console.log(`Reads: ${summary.reads}, ${share}% from replicas, ${summary.staleReadsAgainstOwnSession} missed writes of their own session.`)
  console.log(`Longest gap between writes: ${summary.failoverGapMs} ms. Rejected within the rate limit: ${summary.refusedWithinRate}. Lowest fraction of answered requests of a workspace: ${summary.worstWorkspaceShare}.`)
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
