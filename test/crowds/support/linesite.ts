/** A control host and two entry hosts of the platform in processes of their own, with stand-in databases. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { WireDatabase } from '../../../standin/wire/database.js'
import { WireGroup } from '../../../standin/wire/group.js'
import { WirePlatform } from '../../../standin/wire/platform.js'
import { pollUntil } from '../../support/poll.js'
import { pickPorts, Requester } from '../../support/wire.js'
import type { Site } from './run.js'
import { LimitedProcess } from './processes.js'

export const DATABASE = 'orders'
export const KEY = 'k-parish-1'
const ATTEMPT_MS = 5_000
const ORDINARY_TIMEOUT_MS = 30_000
const HTTP_OK = 200
const IPS = Array.from({ length: 3 }, (_, index) => `127.${(process.pid % 200) + 20}.1.${index + 1}`)
const STATE = {
  version: 3,
  routes: [{ name: 'r1', host: DATABASE, path_prefix: '/', type: 'primary', timeout_ms: 2_000, target_latency_ms: 150, priority: 0, service: 'rota', public: false }],
  services: [{ name: 'rota', max_conns: 20, sync_replicas: 0 }],
  limits: { txn_idle_ms: 3_000 },
  tenants: [{ name: 'parish', api_keys: [KEY], priority: 1, rate_per_s: 50_000, burst: 50_000 }]
}

/** A deployment that crowds meet. */
export class LineSite implements Site {
  /** The addresses of the two entry hosts for callers. */
  readonly callers: readonly string[]
  /** The address for operators and databases. */
  readonly control: string
  /** The addresses of all hosts for their peers, and for operators' commands. */
  readonly peers: readonly string[]
  readonly operators: readonly string[]
  readonly #directory: string
  readonly #platform: WirePlatform
  readonly #group: WireGroup
  readonly #processes: LimitedProcess[] = []
  readonly #databases: WireDatabase[] = []
  readonly #workMs: number | undefined

  private constructor (directory: string, group: WireGroup, platform: WirePlatform, ports: readonly number[], workMs: number | undefined) {
    this.#directory = directory
    this.#group = group
    this.#platform = platform
    this.#workMs = workMs
    const [peers, operators, front, control] = ports
    this.callers = IPS.slice(1).map(ip => `${ip}:${front}`)
    this.control = `${IPS[0]}:${control}`
    this.peers = IPS.map(ip => `${ip}:${peers}`)
    this.operators = IPS.map(ip => `${ip}:${operators}`)
  }

  /** Starts a deployment that serves ordinary callers. */
  static async create (workMs?: number): Promise<LineSite> {
    const group = WireGroup.create('rota')
    const site = new LineSite(await mkdtemp(join(tmpdir(), 'crowd-')), group, await WirePlatform.create([group]), await pickPorts(4), workMs)
    await site.#start()
    return site
  }

  /** Asks for something as an ordinary caller does until it is answered, at each entry host; and as an operator. */
  async askOrdinary (): Promise<void> {
    for (const address of this.callers) await pollUntil(`an answer at ${address}`, async () => await askOnce(address), ORDINARY_TIMEOUT_MS)
    await this.#askOperator()
  }

  /** Fails if a process ended, or used more than it may. */
  async checkSound (): Promise<void> {
    for (const limited of this.#processes) await limited.checkSound()
  }

  /** What the processes used at most so far. */
  describeUse (): string {
    return this.#processes.map(limited => limited.describeUse()).join('; ')
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    for (const database of this.#databases) database.stop()
    for (const limited of this.#processes) await limited[Symbol.asyncDispose]()
    await this.#platform[Symbol.asyncDispose]()
    await rm(this.#directory, { recursive: true, force: true })
  }

  async #start (): Promise<void> {
    for (const [index, ip] of IPS.entries()) await this.#startHost(index, ip)
    await pollUntil('the configuration to be accepted', async () => await this.#putConfiguration())
    for (const [index, zone] of ['zone-a', 'zone-b'].entries()) {
      this.#databases.push(await WireDatabase.create({ id: `i-${index}`, zone, group: this.#group, control: [this.control], workMs: this.#workMs, onRun: () => undefined }))
    }
    await this.askOrdinary()
  }

  async #startHost (index: number, ip: string): Promise<void> {
    const isControl = index === 0
    const [, peersPort] = this.peers[index]!.split(':')
    const [, operatorsPort] = this.operators[index]!.split(':')
    const file = join(this.#directory, `${index}.conf`)
    await writeFile(file, [
      `node=host-${index}`,
      `ip=${ip}`,
      `zone=zone-${['a', 'a', 'b'][index]}`,
      `internal_ports=${peersPort},${operatorsPort}`,
      `seeds=${this.control}`,
      'bootstrap=true',
      'beat_interval_ms=300',
      'tolerate.machines=0',
      `cloud.address=${this.#platform.address}`,
      ...(isControl ? [`listen.control=${this.control}`, `data_dir=${join(this.#directory, 'data')}`] : [`listen.front=${this.callers[index - 1]}`])
    ].join('\n'))
    this.#processes.push(LimitedProcess.create(isControl ? 'control' : `entry-${index}`, 'platform/main.js', [], { FULMARTALLY_SETTINGS: file }, this.#directory))
  }

  async #askOperator (): Promise<void> {
    await pollUntil('an answer to an operator', async () => {
      const response = await fetch(`http://${this.control}/-/config/get`, { signal: AbortSignal.timeout(ATTEMPT_MS) })
      await response.text()
      return response.status === HTTP_OK
    }, ORDINARY_TIMEOUT_MS)
  }

  async #putConfiguration (): Promise<boolean> {
    const response = await fetch(`http://${this.control}/-/config/put`, { method: 'POST', body: JSON.stringify(STATE), signal: AbortSignal.timeout(ATTEMPT_MS) })
    await response.text()
    return response.status === HTTP_OK
  }
}

async function askOnce (address: string): Promise<boolean> {
  const attempt = async (): Promise<boolean> => {
    const [session, opened] = await Requester.create(address, DATABASE, KEY)
    try {
      return opened.error === undefined && (await session.query('ordinary', 'READ a')).error === undefined
    } finally {
      session.close()
    }
  }
  return await Promise.race([attempt(), new Promise<boolean>(resolve => setTimeout(() => resolve(false), ATTEMPT_MS))])
}
