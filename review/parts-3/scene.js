/** What the cases share: a deployment with one group of databases, writers at each entry host, and the check of the rule LOST. */
import { Client } from './client.js'
import { Database } from './database.js'
import { createState, Deployment } from './deployment.js'
import { Group } from './group.js'
import { Platform } from './platform.js'
import { Record, sleep, waitFor } from './record.js'

const WRITERS_PER_ENTRY = 2
const PAUSE_MS = 25
const RETRY_MS = 100
const KEY = 'key-of-atelier'
const SERVICE = 'registre'

/** True unless the case is to be played without its disruption. */
export const TROUBLE = process.env.TROUBLE !== '0'

/** A deployment that is played once. */
export class Scene {
  record = Record.create()
  group
  deployment
  /** The writes whose success a client has received, with the time of it. */
  acknowledged = new Map()
  #platform
  #databases = new Set()
  #writers = []
  #writing = true
  #sent = 0

  static async create (syncReplicas) {
    const scene = new Scene()
    scene.group = Group.create(SERVICE, syncReplicas, scene.record)
    scene.#platform = await Platform.create(scene.group)
    scene.deployment = await Deployment.create({ platformAddress: scene.#platform.address, record: scene.record })
    return scene
  }

  /** Runs a case: `run` returns the exit code. Ends all processes, and writes the record. */
  static async run (syncReplicas, run, recordFile) {
    const scene = await Scene.create(syncReplicas)
    let code = 2
    try {
      code = await run(scene)
    } finally {
      await scene.#end()
      scene.record.write(recordFile)
    }
    process.exit(code)
  }

  async startDatabase (id, zone, options = {}) {
    const database = await Database.create({ group: this.group, id, zone, control: this.deployment.controlAddresses, record: this.record, ...options })
    this.#databases.add(database)
    return database
  }

  /** Sends the first desired state, and waits until the entry hosts are ready and some writes are acknowledged; false if they are not. */
  async startWriters () {
    const state = createState({ version: 1, service: SERVICE, syncReplicas: this.group.syncReplicas })
    if (!await this.deployment.putState(state) || !await this.deployment.awaitReady()) return false
    this.#writers = this.deployment.frontAddresses.flatMap((address, entry) => Array.from({ length: WRITERS_PER_ENTRY }, async (_, index) => await this.#runWriter(address, `w${entry}${index}`)))
    return await waitFor(() => this.acknowledged.size > 50, 10_000)
  }

  async stopWriters () {
    this.#writing = false
    await Promise.all(this.#writers)
  }

  /** Nothing reaches a replica for a while. */
  holdReplica (database, ms) {
    database.deaf = true
    this.record.add('receives-nothing', { database: database.id, position: database.readPosition() })
    setTimeout(() => {
      database.deaf = false
      this.group.replicate(database)
      this.record.add('receives-again', { database: database.id })
    }, ms)
  }

  stopDatabase (database) {
    this.record.add('crashed', { database: database.id, position: database.readPosition() })
    database.stop()
    this.group.checkPrimary()
  }

  /** Checks that each database that was promoted held all that was acknowledged before; returns the exit code. */
  checkLost () {
    let broken = 0
    for (const { id, atMs, held } of this.group.promotions) {
      const before = [...this.acknowledged].filter(([, acknowledgedMs]) => acknowledgedMs < atMs).map(([write]) => write)
      const lost = before.filter(write => !held.has(write))
      this.record.add('judged', { promoted: id, acknowledgedBefore: before.length, lost })
      if (lost.length > 0) broken += 1
    }
    const { size } = this.acknowledged
    this.record.add('result', { rule: 'LOST', sent: this.#sent, acknowledged: size, promotions: this.group.promotions.length, broken })
    process.stdout.write(`acknowledged ${size} of ${this.#sent}; promotions ${this.group.promotions.length}, without an acknowledged commit ${broken}\n`)
    return broken > 0 ? 1 : 0
  }

  async #runWriter (address, name) {
    let client
    while (this.#writing) {
      client = client === undefined || client.closed ? await openClient(address) : client
      if (client === undefined) continue
      this.#sent += 1
      const id = `${name}x${this.#sent}`
      this.record.add('sent', { id, text: 'WRITE' })
      const outcome = await client.query(id, `WRITE item-${name} data-${id}`)
      this.record.add('answered', { id, lines: outcome.lines, broken: outcome.broken })
      if (!outcome.broken && outcome.error === undefined) this.acknowledged.set(id, this.record.readMs())
      if (outcome.state !== 'I') client.close()
      await sleep(PAUSE_MS)
    }
    client?.close()
  }

  async #end () {
    this.#writing = false
    await this.deployment.stop()
    for (const database of this.#databases) database.stop()
    this.#platform.close()
  }
}

async function openClient (address) {
  const [client, opened] = await Client.create(address, 'orders', KEY)
  if (opened.error === undefined && !opened.broken) return client
  client.close()
  await sleep(RETRY_MS)
  return undefined
}
