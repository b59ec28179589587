/** Starts and stops the processes of a deployment on loopback: hosts and stand-in databases. */
import { spawn, type ChildProcess } from 'node:child_process'
import { createWriteStream } from 'node:fs'
import { mkdir, writeFile } from 'node:fs/promises'
import { createServer, type AddressInfo } from 'node:net'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'
import { Relay } from './relay.js'

const DIST_FOLDER = fileURLToPath(new URL(import.meta.url.includes('/dist/') ? '..' : '../dist', import.meta.url))
const READY_TIMEOUT_MS = 20_000
const START_ATTEMPTS = 5
const START_RETRY_DELAY_MS = 300

/** A process that reported that it is ready. */
export interface RunningProcess<Ready> {
  readonly name: string
  readonly child: ChildProcess
  readonly ready: Ready
}

/** The configuration of a host to start. */
export interface HostPlan {
  readonly name: string
  readonly failureDomain: string
  readonly control: boolean
}

/** The configuration of a database to start. */
export interface DatabasePlan {
  readonly name: string
  readonly group: string
  readonly failureDomain: string
  readonly primary: boolean
  readonly slots?: number
  readonly connections?: number
  readonly connectMs?: number
  readonly statementMs?: number
  readonly lagMs?: number
}

/** The addresses of a host. */
export interface HostAddresses {
  readonly callers: string
  readonly peers: string
  readonly operators: string
}

/** A started host and the configuration to restart it. */
export interface StartedHost {
  readonly plan: HostPlan
  readonly addresses: HostAddresses
  readonly settingsFile: string
  readonly dataFolder?: string
  process: RunningProcess<HostAddresses>
}

/** A started database and the configuration to restart it. */
export interface StartedDatabase {
  readonly plan: DatabasePlan
  /** The address of the relay through which hosts and other databases connect. */
  readonly address: string
  readonly relay: Relay
  readonly args: readonly string[]
  process: RunningProcess<{ readonly address: string }>
}

/** Finds free ports on loopback. They are released again, so another process may take one before it is used. */
export async function findFreePorts (count: number): Promise<readonly number[]> {
  const servers = Array.from({ length: count }, () => createServer())
  await Promise.all(servers.map(server => new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))))
  const ports = servers.map(server => (server.address() as AddressInfo).port)
  await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))))
  return ports
}

/**
 * Starts a compiled program and waits until it prints its ready line. A start is retried if it fails,
 * since an outgoing connection may have taken the selected port in the meantime.
 * @throws Error when the last attempt fails.
 */
export async function startProcess<Ready> (name: string, script: string, args: readonly string[], directory: string): Promise<RunningProcess<Ready>> {
  for (let attempt = 1; ; attempt++) {
    try {
      return await startOnce(name, script, args, directory)
    } catch (error) {
      if (attempt === START_ATTEMPTS) throw error
      await new Promise(resolve => setTimeout(resolve, START_RETRY_DELAY_MS))
    }
  }
}

async function startOnce<Ready> (name: string, script: string, args: readonly string[], directory: string): Promise<RunningProcess<Ready>> {
  const child = spawn(process.execPath, [join(DIST_FOLDER, script), ...args], { stdio: ['ignore', 'pipe', 'pipe'] })
  const log = createWriteStream(join(directory, `${name}.log`), { flags: 'a' })
  child.stdout.pipe(log)
  child.stderr.pipe(log)
  const ready = await new Promise<Ready>((resolve, reject) => {
    const timer = setTimeout(() => {
      child.kill('SIGKILL')
      reject(new Error(`${name} was not ready in time`))
    }, READY_TIMEOUT_MS)
    child.once('exit', code => reject(new Error(`${name} exited with code ${code} before it was ready`)))
    createInterface({ input: child.stdout }).on('line', line => {
      const parsed = parseReadyLine<Ready>(line)
      if (parsed === undefined) return
      clearTimeout(timer)
      resolve(parsed)
    })
  })
  return { name, child, ready }
}

/** Starts hosts; those planned as control hosts form the control group. */
export async function startHosts (plans: readonly HostPlan[], directory: string): Promise<readonly StartedHost[]> {
  const ports = await findFreePorts(plans.length * 3)
  const addresses = plans.map((_, index): HostAddresses => ({
    callers: `127.0.0.1:${ports[index * 3]}`,
    peers: `127.0.0.1:${ports[index * 3 + 1]}`,
    operators: `127.0.0.1:${ports[index * 3 + 2]}`
  }))
  const control = plans.flatMap((plan, index) => (plan.control ? [{ host: plan.name, peers: addresses[index]!.peers }] : []))
  return await Promise.all(plans.map(async (plan, index) => await startHost(plan, addresses[index]!, control, directory)))
}

async function startHost (plan: HostPlan, addresses: HostAddresses, control: ReadonlyArray<{ readonly host: string, readonly peers: string }>, directory: string): Promise<StartedHost> {
  const dataFolder = plan.control ? join(directory, `${plan.name}.data`) : undefined
  if (dataFolder !== undefined) await mkdir(dataFolder, { recursive: true })
  const settingsFile = join(directory, `${plan.name}.jsonc`)
  const settings = { host: plan.name, failureDomain: plan.failureDomain, ...addresses, control, dataFolder }
  await writeFile(settingsFile, JSON.stringify(settings, undefined, 2))
  const started = await startProcess<HostAddresses>(plan.name, 'src/daemon/main.js', ['--settings', settingsFile], directory)
  return { plan, addresses, settingsFile, dataFolder, process: started }
}

/** Restarts a stopped host with its previous addresses. */
export async function restartHost (host: StartedHost, directory: string): Promise<void> {
  host.process = await startProcess<HostAddresses>(host.plan.name, 'src/daemon/main.js', ['--settings', host.settingsFile], directory)
}

/** Starts databases, each behind a relay. They announce themselves to the hosts of their failure domain. */
export async function startDatabases (plans: readonly DatabasePlan[], hosts: readonly StartedHost[], secrets: readonly string[], directory: string): Promise<readonly StartedDatabase[]> {
  const ports = await findFreePorts(plans.length)
  const relays = await Promise.all(plans.map(async (_, index) => await startRelay(`127.0.0.1:${ports[index]}`)))
  const addresses = new Map(plans.map((plan, index) => [plan.name, relays[index]!.address]))
  const primaries = new Map(plans.filter(plan => plan.primary).map(plan => [plan.group, addresses.get(plan.name)!]))
  return await Promise.all(plans.map(async (plan, index) => {
    const nearbyHosts = hosts.filter(host => host.plan.failureDomain === plan.failureDomain).map(host => host.addresses.peers)
    const address = addresses.get(plan.name)!
    const role = plan.primary ? ['--primary'] : ['--follow', primaries.get(plan.group)!]
    const args = [...createDatabaseArgs(plan), '--port', String(ports[index]), '--advertise', address, '--hosts', nearbyHosts.join(','), '--secrets', secrets.join(','), '--data', join(directory, `${plan.name}.data`), ...role]
    return { plan, address, relay: relays[index]!.relay, args, process: await startProcess<{ readonly address: string }>(plan.name, 'standin/main.js', args, directory) }
  }))
}

/** Restarts a stopped database with its data. */
export async function restartDatabase (database: StartedDatabase, directory: string): Promise<void> {
  database.process = await startProcess<{ readonly address: string }>(database.plan.name, 'standin/main.js', database.args, directory)
}

async function startRelay (target: string): Promise<{ readonly relay: Relay, readonly address: string }> {
  const relay = Relay.create(target)
  return { relay, address: await relay.listen() }
}

function createDatabaseArgs (plan: DatabasePlan): readonly string[] {
  const { name, group, failureDomain, slots = 3, connections = 20, connectMs = 10, statementMs = 1, lagMs = 5 } = plan
  return [
    '--name', name,
    '--group', group,
    '--failure-domain', failureDomain,
    '--slots', String(slots),
    '--connections', String(connections),
    '--connect-ms', String(connectMs),
    '--statement-ms', String(statementMs),
    '--lag-ms', String(lagMs)
  ]
}

/** Stops processes that this program started, also frozen ones, and waits until they have exited. */
export async function endProcesses (processes: ReadonlyArray<RunningProcess<unknown>>, signal: NodeJS.Signals = 'SIGKILL'): Promise<void> {
  await Promise.all(processes.map(async ({ child }) => {
    if (child.exitCode !== null || child.signalCode !== null) return
    const ended = new Promise(resolve => child.once('exit', resolve))
    child.kill('SIGCONT')
    child.kill(signal)
    await ended
  }))
}

function parseReadyLine<Ready> (line: string): Ready | undefined {
  if (!line.startsWith('{"ready"')) return undefined
  return (JSON.parse(line) as { readonly ready: Ready }).ready
}
