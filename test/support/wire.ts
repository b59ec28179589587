/** A deployment on loopback that speaks the platform's protocols: hosts of fulmartally, stand-in databases, a requester. */
import { mkdtemp, rm } from 'node:fs/promises'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Host } from '../../src/daemon/host.js'
import { PlatformEdge } from '../../platform/edge.js'
import { collectLine, type Answer } from '../../platform/answer.js'
import { formatLines, LineReader } from '../../platform/lines.js'
import { parsePlatformSettings } from '../../platform/settings.js'
import { WireDatabase } from '../../standin/wire/database.js'
import { WireGroup, type WireGroupOptions } from '../../standin/wire/group.js'
import { WirePlatform } from '../../standin/wire/platform.js'
import type { StatementRun } from '../../standin/wire/session.js'

const ZONES = ['zone-a', 'zone-b', 'zone-c'] as const

/** A client of the platform's front protocol, with one session. */
export class Requester {
  readonly #socket: Socket
  readonly #reader = LineReader.create()
  readonly #patienceMs: number | undefined
  #lines: string[] = []
  #resolveAnswer: ((answer: Answer) => void) | undefined

  private constructor (socket: Socket, patienceMs: number | undefined) {
    this.#socket = socket
    this.#patienceMs = patienceMs
    socket.setEncoding('utf8')
    socket.on('error', () => socket.destroy())
    // A refused START is answered by an ERROR line without READY, and the connection closes.
    socket.on('close', () => this.#resolveAnswer?.({ lines: this.#lines, status: 'idle', error: this.#lines[0]?.split(' ')[1] ?? 'closed' }))
    socket.on('data', chunk => {
      for (const line of this.#reader.read(chunk as unknown as string)) this.#receiveLine(line)
    })
  }

  /**
   * Connects and starts a session; also returns the answer to START.
   * @param patienceMs the time without an answer after which it closes its connection; absent if it waits.
   */
  static async create (address: string, database: string, key: string, patienceMs?: number): Promise<readonly [Requester, Answer]> {
    const [host, port] = address.split(':')
    const socket = connect({ host: host!, port: Number(port), noDelay: true })
    const requester = new Requester(socket, patienceMs)
    return [requester, await requester.#send(`START ${database} ${key}`)]
  }

  async query (id: string, text: string): Promise<Answer> {
    return await this.#send(`QUERY ${id} ${text}`)
  }

  close (): void {
    this.#socket.destroy()
  }

  async #send (line: string): Promise<Answer> {
    if (this.#socket.destroyed) return { lines: [], status: 'idle', error: 'closed' }
    const timer = this.#patienceMs === undefined ? undefined : setTimeout(() => this.#socket.destroy(), this.#patienceMs)
    const answer = await new Promise<Answer>(resolve => {
      this.#resolveAnswer = resolve
      this.#socket.write(formatLines(line))
    })
    clearTimeout(timer)
    return answer
  }

  #receiveLine (line: string): void {
    const answer = collectLine(this.#lines, line)
    if (answer === undefined) {
      this.#lines.push(line)
      return
    }
    this.#lines = []
    this.#resolveAnswer?.(answer)
  }
}

/** What a deployment may differ in. */
export interface WireDeploymentOptions {
  /** How long a read, write or commit takes in a database, in milliseconds; at once when absent. */
  readonly workMs?: number
  /** Returns what a statement of a caller waits for before it runs in a database; undefined when it does not wait. */
  readonly holdStatement?: (text: string) => Promise<void> | undefined
  /** How commits and promotions go; by default no commit waits for a copy. */
  readonly group?: WireGroupOptions
  /** Lines of the settings that name zones beyond those of the hosts. */
  readonly zoneLines?: readonly string[]
}

/** Three control hosts, three entry hosts and one group of three databases. */
export class WireDeployment {
  readonly group: WireGroup
  readonly runs: StatementRun[] = []
  readonly databases: WireDatabase[] = []
  readonly control: string[] = []
  readonly callers: string[] = []
  readonly #directory: string
  readonly #options: WireDeploymentOptions
  readonly #hosts: Host[] = []
  readonly #settings: string[] = []
  #platform!: WirePlatform

  private constructor (directory: string, options: WireDeploymentOptions) {
    this.#directory = directory
    this.#options = options
    this.group = WireGroup.create('rota', options.group)
  }

  /**
   * Starts a deployment without a configuration.
   * @example await using deployment = await WireDeployment.create()
   */
  static async create (options: WireDeploymentOptions = {}): Promise<WireDeployment> {
    const deployment = new WireDeployment(await mkdtemp(join(tmpdir(), 'wire-')), options)
    await deployment.#start()
    return deployment
  }

  /** The groups of all promotion requests, in order. */
  get appointedGroups (): readonly string[] {
    return this.#platform.requested
  }

  /** Sends a desired state to a control host; returns the HTTP status. */
  async putConfiguration (state: unknown, hostIndex = 0): Promise<number> {
    const response = await fetch(`http://${this.control[hostIndex]}/-/config/put`, { method: 'POST', body: JSON.stringify(state) })
    await response.text()
    return response.status
  }

  /** Sends an order on a failure domain to a control host; returns the HTTP status and the body. */
  async sendOrder (zone: string, order: 'begin' | 'end', hostIndex = 0): Promise<{ readonly status: number, readonly body: string }> {
    const response = await fetch(`http://${this.control[hostIndex]}/-/evacuations/${zone}/${order}`, { method: 'POST' })
    return { status: response.status, body: await response.text() }
  }

  /** Reads the HTTP status and the version of the desired state from a control host. */
  async readConfiguration (hostIndex = 0): Promise<{ readonly status: number, readonly version?: number }> {
    const response = await fetch(`http://${this.control[hostIndex]}/-/config/get`)
    const body = await response.json() as { readonly version?: number }
    return { status: response.status, version: body.version }
  }

  /** Stops the host that serves callers at an address of `callers`; returns once its process would have ended. */
  async stopHost (callerIndex: number): Promise<void> {
    const host = this.#hosts[this.control.length + callerIndex]!
    host.stop()
    await host.stopped
    await host[Symbol.asyncDispose]()
  }

  /** Restarts a host, control hosts first: it gets the time of a planned stop, or ends at once. */
  async restartHost (index: number, planned: boolean): Promise<void> {
    const host = this.#hosts[index]!
    if (planned) {
      host.stop()
      await host.stopped
    }
    await host[Symbol.asyncDispose]()
    this.#hosts[index] = await startHost(this.#settings[index]!)
  }

  /** Starts a database at the address of one that has ended, with its log. */
  async replaceDatabase (former: WireDatabase, id: string): Promise<WireDatabase> {
    const zone = ZONES[this.databases.indexOf(former) % ZONES.length]!
    const database = await WireDatabase.create({ id, zone, former, group: this.group, control: this.control, ...this.#databaseOptions, onRun: run => this.runs.push(run) })
    this.databases[this.databases.indexOf(former)] = database
    return database
  }

  /** Ends all control hosts at once, and starts them again with what they stored. */
  async restartControl (): Promise<void> {
    await Promise.all(this.control.map(async (_, index) => await this.#hosts[index]![Symbol.asyncDispose]()))
    for (const index of this.control.keys()) this.#hosts[index] = await startHost(this.#settings[index]!)
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    for (const database of this.databases) database.stop()
    await Promise.all(this.#hosts.map(async host => await host[Symbol.asyncDispose]()))
    await this.#platform[Symbol.asyncDispose]()
    await rm(this.#directory, { recursive: true, force: true })
  }

  get #databaseOptions (): Pick<WireDeploymentOptions, 'workMs' | 'holdStatement'> {
    const { workMs, holdStatement } = this.#options
    return { workMs, holdStatement }
  }

  async #start (): Promise<void> {
    this.#platform = await WirePlatform.create([this.group])
    const peers = await pickPorts(2)
    const [front, ready, control] = await pickPorts(3)
    const subnet = (process.pid % 200) + 20
    const ips = Array.from({ length: 6 }, (_, index) => `127.${subnet}.0.${index + 1}`)
    const seeds = ips.slice(0, 3).map(ip => `${ip}:${control}`).join(',')
    for (const [index, ip] of ips.entries()) {
      const isControl = index < 3
      const settings = [
        `node=host-${index}`,
        `ip=${ip}`,
        `zone=${ZONES[index % 3]}`,
        `internal_ports=${peers.join(',')}`,
        `seeds=${seeds}`,
        'bootstrap=true',
        'beat_interval_ms=300',
        'tolerate.machines=1',
        'bounds.evacuate_ms=5000',
        ...(this.#options.zoneLines ?? []),
        `cloud.address=${this.#platform.address}`,
        ...(isControl ? [`listen.control=${ip}:${control}`, `data_dir=${join(this.#directory, String(index))}`] : [`listen.front=${ip}:${front}`, `listen.ready=${ip}:${ready}`])
      ].join('\n')
      this.#settings.push(settings)
      this.#hosts.push(await startHost(settings))
      if (isControl) this.control.push(`${ip}:${control}`)
      else this.callers.push(`${ip}:${front}`)
    }
    for (const [index, zone] of ZONES.entries()) {
      this.databases.push(await WireDatabase.create({ id: `i-${index}`, zone, group: this.group, control: this.control, ...this.#databaseOptions, onRun: run => this.runs.push(run) }))
    }
  }
}

async function startHost (text: string): Promise<Host> {
  const platform = parsePlatformSettings(text)
  const settingsWithLogLevel = { ...platform, settings: { ...platform.settings, logLevel: 'error' as const } }
  return await Host.create(settingsWithLogLevel.settings, error => { throw error }, PlatformEdge.create(settingsWithLogLevel))
}

/** Picks free loopback ports. */
export async function pickPorts (count: number): Promise<readonly number[]> {
  const servers = Array.from({ length: count }, () => createServer())
  await Promise.all(servers.map(async server => await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))))
  const ports = servers.map(server => (server.address() as AddressInfo).port)
  for (const server of servers) server.close()
  return ports
}
