/** Request cost: the processor time of a request, in processes that are built and run as the fleet runs them, at a low and at a high rate. */
import { spawn, type ChildProcess } from 'node:child_process'
import { mkdir, readFile, writeFile } from 'node:fs/promises'
import { createWriteStream } from 'node:fs'
import { connect, type Socket } from 'node:net'
import { join } from 'node:path'
import { findFreePorts } from '../demo/processes.js'
import { sleep } from '../demo/sleep.js'
import { collectLine, type Answer } from '../platform/answer.js'
import { formatLines, LineReader } from '../platform/lines.js'
import { WireDatabase } from '../standin/wire/database.js'
import { WireGroup } from '../standin/wire/group.js'
import { WirePlatform } from '../standin/wire/platform.js'
import { roundFigure, runLoad } from './openloop.js'
import type { Row } from './report.js'
import { readUsage, type Usage } from './usage.js'

const ZONES = ['zone-a', 'zone-b', 'zone-c']
const SERVICES = ['rota', 'ledger', 'stock', 'permits']
const WORKSPACES = 12
const CONTROL_HOSTS = 3
const ENTRY_HOSTS = 12
const SESSIONS_PER_HOST = 4
const WORK_MS = 3
const SECONDS = 8
/** Requests a second of each entry host: as its hosts start, idle, as in the fleet, and warm. */
const RATES_PER_HOST = [10, 0, 10, 60]
/** Further flags of the runtime for half of the entry hosts, which form a role of their own: runs that follow each other differ by more than flags do. */
const FLAGS_VARIABLE = 'BENCH_NODE_FLAGS'
const START_TIMEOUT_MS = 30_000
const STOP_TIMEOUT_MS = 12_000
const RETRY_MS = 100
const MS_PER_SECOND = 1_000
const UNLIMITED = 1_000_000
const ROLES = ['entry', 'trial', 'control'] as const
type Role = typeof ROLES[number]

interface BenchHost {
  readonly role: Role
  readonly child: ChildProcess
  readonly address: string
}

/** Measures idle hosts, then each rate. */
export async function runRequestCost (directory: string): Promise<readonly Row[]> {
  const groups = SERVICES.map(service => WireGroup.create(service))
  await using platform = await WirePlatform.create(groups)
  const hosts = await startHosts(directory, platform.address)
  const control = hosts.filter(({ role }) => role === 'control').map(({ address }) => address)
  const databases = await Promise.all(groups.flatMap(group => ZONES.map(async (zone, index) =>
    await WireDatabase.create({ id: `${group.service}-${index}`, zone, group, control, workMs: WORK_MS, onRun: () => undefined }))))
  try {
    await putConfiguration(control[0]!)
    const sessions = await openSessions(hosts.filter(({ role }) => role !== 'control'))
    const rows: Row[] = []
    for (const rate of RATES_PER_HOST) rows.push(...await observeRate(hosts, sessions, rate))
    return rows
  } finally {
    for (const database of databases) database.stop()
    await Promise.all(hosts.map(async ({ child }) => await endProcess(child)))
  }
}

async function observeRate (hosts: readonly BenchHost[], sessions: readonly Session[], rate: number): Promise<readonly Row[]> {
  const before = await Promise.all(hosts.map(async ({ child }) => await readUsage(child.pid!)))
  const requests = rate * ENTRY_HOSTS * SECONDS
  const load = rate === 0 ? await sleep(SECONDS * MS_PER_SECOND) : await runLoad({ rate: rate * ENTRY_HOSTS, seconds: SECONDS, send: async index => await sessions[index % sessions.length]!.request(index) })
  const after = await Promise.all(hosts.map(async ({ child }) => await readUsage(child.pid!)))
  return ROLES.filter(role => hosts.some(host => host.role === role)).map(role => {
    const indexes = [...hosts.keys()].filter(index => hosts[index]!.role === role)
    const asked = role === 'control' ? requests : requests * indexes.length / ENTRY_HOSTS
    const sum = (read: (usage: Usage) => number): number => indexes.reduce((total, index) => total + read(after[index]!) - read(before[index]!), 0)
    const perRequest = (seconds: number): number => roundFigure(MS_PER_SECOND * seconds / Math.max(1, asked))
    return {
      role,
      perHostPerSecond: rate,
      coreMsPerSecond: roundFigure(1_000 * sum(usage => usage.cpuSeconds) / SECONDS / indexes.length),
      ...(rate === 0 ? {} : { userMs: perRequest(sum(usage => usage.userSeconds)), kernelMs: perRequest(sum(usage => usage.kernelSeconds)), requestMs: perRequest(sum(usage => usage.cpuSeconds)) }),
      residentMb: Math.round(indexes.reduce((most, index) => Math.max(most, after[index]!.residentMb), 0)),
      ...(load === undefined ? {} : { failed: load.failed, p50Ms: load.p50Ms, p99Ms: load.p99Ms })
    }
  })
}

async function startHosts (directory: string, promotions: string): Promise<readonly BenchHost[]> {
  const [peers, operators, front, ready, control] = await findFreePorts(5)
  const net = process.pid % 200 + 20
  const ips = Array.from({ length: CONTROL_HOSTS + ENTRY_HOSTS }, (_, index) => `127.${net}.0.${index + 1}`)
  const commands = await readCommands()
  const flags = process.env[FLAGS_VARIABLE]?.split(' ') ?? []
  return await Promise.all(ips.map(async (ip, index) => {
    const role: Role = index < CONTROL_HOSTS ? 'control' : flags.length > 0 && Math.floor(index / ZONES.length) % 2 === 0 ? 'trial' : 'entry'
    const dataFolder = join(directory, `data-${index}`)
    await mkdir(dataFolder)
    const settings = join(directory, `host-${index}.conf`)
    await writeFile(settings, [
      `node=host-${index}`,
      `ip=${ip}`,
      `zone=${ZONES[index % ZONES.length]}`,
      `internal_ports=${peers},${operators}`,
      `seeds=${ips.slice(0, CONTROL_HOSTS).map(seed => `${seed}:${control}`).join(',')}`,
      'bootstrap=true',
      'tolerate.machines=1',
      `cloud.address=${promotions}`,
      ...(role === 'control' ? [`listen.control=${ip}:${control}`, `data_dir=${dataFolder}`] : [`listen.front=${ip}:${front}`, `listen.ready=${ip}:${ready}`])
    ].join('\n'))
    const [program, ...args] = commands[role]
    const child = spawn(program!, [...args.slice(0, -1), ...(role === 'trial' ? flags : []), ...args.slice(-1)], { env: { PATH: process.env.PATH, FULMARTALLY_SETTINGS: settings }, stdio: ['ignore', 'pipe', 'pipe'] })
    const log = createWriteStream(join(directory, `host-${index}.log`))
    child.stdout.pipe(log)
    child.stderr.pipe(log)
    return { role, child, address: `${ip}:${role === 'control' ? control : front}` }
  }))
}

// A process writes its profile when it ends by itself.
async function endProcess (child: ChildProcess): Promise<void> {
  const ended = new Promise(resolve => child.once('exit', resolve))
  child.kill('SIGTERM')
  await Promise.race([ended, sleep(STOP_TIMEOUT_MS)])
  child.kill('SIGKILL')
}

/** Reads how the fleet starts each role. */
async function readCommands (): Promise<Readonly<Record<Role, readonly string[]>>> {
  const text = await readFile('deploy/system.toml', 'utf8')
  const read = (role: Role): readonly string[] => new RegExp(`\\[roles\\.${role}\\]\\s+run = "([^"]+)"`).exec(text)![1]!.split(' ')
  return { entry: read('entry'), trial: read('entry'), control: read('control') }
}

async function putConfiguration (control: string): Promise<void> {
  const route = (service: string, type: string): object => ({
    name: `${service}-${type}`, host: `${service}-${type}`, path_prefix: '/', type, timeout_ms: 2_000, target_latency_ms: 150, priority: 0, service, public: false, ...(type === 'primary' ? {} : { max_staleness_ms: 2_500 })
  })
  const state = {
    version: 1,
    routes: SERVICES.flatMap(service => [route(service, 'primary'), route(service, 'read_your_writes')]),
    services: SERVICES.map(name => ({ name, max_conns: 30, sync_replicas: 0 })),
    limits: { txn_idle_ms: 3_000 },
    tenants: Array.from({ length: WORKSPACES }, (_, index) => ({ name: `workspace-${index}`, api_keys: [`key-${index}`], priority: 1, rate_per_s: UNLIMITED, burst: UNLIMITED }))
  }
  await retry(async () => (await fetch(`http://${control}/-/config/put`, { method: 'POST', body: JSON.stringify(state) })).status === 200)
}

async function openSessions (entries: readonly BenchHost[]): Promise<readonly Session[]> {
  const count = entries.length * SESSIONS_PER_HOST
  const sessions: Session[] = []
  for (let index = 0; index < count; index++) {
    const service = SERVICES[index % SERVICES.length]!
    const type = index % 3 === 0 ? 'primary' : 'read_your_writes'
    await retry(async () => {
      const session = new Session(entries[index % entries.length]!.address, type === 'primary')
      const served = await session.send(`START ${service}-${type} key-${index % WORKSPACES}`) && await session.request(0)
      if (served) sessions.push(session)
      return served
    })
  }
  return sessions
}

async function retry (attempt: () => Promise<boolean>): Promise<void> {
  const endsAtMs = performance.now() + START_TIMEOUT_MS
  while (!await attempt().catch(() => false)) {
    if (performance.now() > endsAtMs) throw new Error('the system was not ready in time')
    await sleep(RETRY_MS)
  }
}

/** One session of a caller; requests wait for those before them. */
class Session {
  readonly #socket: Socket
  readonly #writes: boolean
  readonly #reader = LineReader.create()
  readonly #waiting: Array<(answer: Answer | undefined) => void> = []
  #lines: string[] = []
  #last: Promise<unknown> = Promise.resolve()

  constructor (address: string, writes: boolean) {
    const [host, port] = address.split(':')
    this.#writes = writes
    this.#socket = connect({ host: host!, port: Number(port), noDelay: true })
    this.#socket.setEncoding('utf8')
    this.#socket.on('error', () => this.#socket.destroy())
    this.#socket.on('close', () => this.#waiting.splice(0).forEach(resolve => resolve(undefined)))
    this.#socket.on('data', chunk => {
      for (const line of this.#reader.read(String(chunk))) this.#receive(line)
    })
  }

  /** Sends a statement; rejects when it fails. */
  async request (index: number): Promise<boolean> {
    const previous = this.#last
    this.#last = previous.then(async () => await this.send(`QUERY q${index} ${this.#writes ? `WRITE row-${index % 100} value-${index}` : `READ row-${index % 100}`}`))
    if (await this.#last !== true) throw new Error('the statement failed')
    return true
  }

  async send (line: string): Promise<boolean> {
    if (this.#socket.destroyed) return false
    const answer = await new Promise<Answer | undefined>(resolve => {
      this.#waiting.push(resolve)
      this.#socket.write(formatLines(line))
    })
    return answer !== undefined && answer.error === undefined
  }

  #receive (line: string): void {
    const answer = collectLine(this.#lines, line)
    if (answer === undefined) {
      this.#lines.push(line)
      return
    }
    this.#lines = []
    this.#waiting.shift()?.(answer)
  }
}
