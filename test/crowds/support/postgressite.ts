/** A host of the PostgreSQL front end in a process of its own, with a stand-in database. */
import { mkdir, mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import pg from 'pg'
import { endProcesses, findFreePorts, startDatabases, type StartedDatabase, type StartedHost } from '../../../demo/processes.js'
import { createKey } from '../../../src/admission/keys.js'
import { sendCommand } from '../../../src/operations/client.js'
import { pollUntil } from '../../support/poll.js'
import type { Site } from './run.js'
import { LimitedProcess } from './processes.js'

export const KEY = createKey()
export const WORKSPACE = 'parish'
export const SERVICE = 'rota'
const ATTEMPT_MS = 5_000
const ORDINARY_TIMEOUT_MS = 30_000
const DOMAIN = 'north'
const DOCUMENT = {
  service: SERVICE,
  owners: ['ana'],
  groups: [{ name: 'a', databases: 1 }],
  workspaces: [{ name: WORKSPACE, rate: 50_000, burst: 50_000, group: 'a', keys: [{ id: 'k1', sha256: KEY.sha256 }] }],
  routes: []
}

/** A deployment that crowds meet. */
export class PostgresSite implements Site {
  /** The addresses of the host. */
  readonly callers: string
  readonly peers: string
  readonly operators: string
  readonly #directory: string
  #process: LimitedProcess | undefined
  #databases: readonly StartedDatabase[] = []

  private constructor (directory: string, ports: readonly number[]) {
    this.#directory = directory
    this.callers = `127.0.0.1:${ports[0]}`
    this.peers = `127.0.0.1:${ports[1]}`
    this.operators = `127.0.0.1:${ports[2]}`
  }

  /** Starts a deployment that serves ordinary callers. */
  static async create (): Promise<PostgresSite> {
    const site = new PostgresSite(await mkdtemp(join(tmpdir(), 'crowd-')), await findFreePorts(3))
    await site.#start()
    return site
  }

  async askOrdinary (): Promise<void> {
    await pollUntil('an answer to a caller', async () => await this.#ask('SELECT name FROM swaps'), ORDINARY_TIMEOUT_MS)
    await pollUntil('an answer to an operator', async () => (await fetch(`http://${this.operators}/health`, { signal: AbortSignal.timeout(ATTEMPT_MS) })).ok, ORDINARY_TIMEOUT_MS)
  }

  async checkSound (): Promise<void> {
    await this.#process!.checkSound()
  }

  describeUse (): string {
    return this.#process!.describeUse()
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    await endProcesses(this.#databases.map(started => started.process))
    await this.#process?.[Symbol.asyncDispose]()
    await rm(this.#directory, { recursive: true, force: true })
  }

  async #start (): Promise<void> {
    const { callers, peers, operators } = this
    const dataFolder = join(this.#directory, 'data')
    const settingsFile = join(this.#directory, 'host.json')
    await mkdir(dataFolder)
    await writeFile(settingsFile, JSON.stringify({ host: 'host-1', failureDomain: DOMAIN, callers, peers, operators, dataFolder, control: [{ host: 'host-1', peers }] }))
    this.#process = LimitedProcess.create('host-1', 'src/daemon/main.js', ['--settings', settingsFile], {}, this.#directory)
    await pollUntil('the document to be accepted', async () => (await sendCommand<{ readonly accepted: boolean }>(operators, { name: 'document/apply', text: JSON.stringify(DOCUMENT), version: 0 })).accepted)
    const host = { plan: { name: 'host-1', failureDomain: DOMAIN, control: true }, addresses: { callers, peers, operators } } as unknown as StartedHost
    this.#databases = await startDatabases([{ name: 'a1', group: 'a', failureDomain: DOMAIN, primary: true }], [host], [KEY.key], this.#directory)
    await pollUntil('a query', async () => await this.#ask('CREATE TABLE IF NOT EXISTS swaps (id text, name text)'))
    await this.askOrdinary()
  }

  async #ask (text: string): Promise<boolean> {
    const [ip, port] = this.callers.split(':')
    const client = new pg.Client({ host: ip, port: Number(port), database: SERVICE, user: WORKSPACE, password: KEY.key, connectionTimeoutMillis: ATTEMPT_MS, query_timeout: ATTEMPT_MS })
    client.on('error', () => undefined)
    try {
      await client.connect()
      await client.query(text)
      return true
    } finally {
      client.end().catch(() => undefined)
    }
  }
}
