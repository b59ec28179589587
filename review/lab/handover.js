/**
 * A small deployment with a service of three databases, each write of which a replica has to hold (`sync_replicas` 1). Callers
 * write in transactions. Checks after each promotion that the new primary holds what was acknowledged to callers.
 */
import { Database } from './database.js'
import { Group } from './group.js'
import { Hosts } from './hosts.js'
import { Platform, putConfiguration } from './outside.js'
import { buildState, SERVICE, sleep } from './scene.js'
import { Writers } from './writers.js'

const ZONES = ['zone-a', 'zone-b', 'zone-c']
const WRITERS = 6
const MIN_CALM_COMMITS = 10

/** The deployment, its stand-ins and its callers. */
export class Handover {
  promotions = []
  databases = []
  /** The hosts that have connected to each database. */
  peers = new Map()

  static async create ({ record, fronts = 6, promoteMs = 600 }) {
    const scene = new Handover()
    scene.record = record
    scene.group = new Group({ service: SERVICE, syncReplicas: 1, promoteMs, onEvent: event => scene.#recordPromotion(event) })
    scene.platform = new Platform([scene.group], call => record('platform', call))
    await scene.platform.start()
    scene.hosts = await Hosts.create({ fronts, platform: scene.platform.address })
    return scene
  }

  #recordPromotion (event) {
    this.promotions.push(event)
    this.record('group', { ...event, acknowledgedButMissing: event.acknowledgedButMissing.map(({ number, term, writes, holder }) => ({ number, term, writes, holder })) })
  }

  /** Starts all of it, and waits until callers are served in calm. */
  async start (pauseMs) {
    const { hosts, record } = this
    hosts.startAll()
    await sleep(1_500)
    for (const [index, id] of ['i-a', 'i-b', 'i-c'].entries()) await this.addDatabase(id, ZONES[index])
    const status = await putConfiguration(hosts.control, buildState(1, { syncReplicas: 1 }))
    if (status !== 200) throw new Error(`the desired state was answered with ${status}`)
    await hosts.awaitReady()
    await sleep(3_000)
    this.writers = new Writers({ addresses: hosts.fronts.slice(0, WRITERS).map(({ callers }) => callers), pauseMs, record })
    await sleep(4_000)
    if (this.writers.acknowledged.length < MIN_CALM_COMMITS) throw new Error('too few transactions are served in calm')
  }

  async addDatabase (id, zone) {
    const { hosts, group, record, peers } = this
    const database = new Database({
      id,
      ip: hosts.pickIp(),
      port: hosts.databasePort,
      zone,
      group,
      control: hosts.control,
      onRun: run => record('runs', run),
      findPeer: port => hosts.findByPort(port)?.name ?? 'unknown',
      onPeer: (name, peer) => {
        const known = peers.get(name) ?? new Set()
        if (!known.has(peer)) record('connects', peer, 'to', name)
        peers.set(name, known.add(peer))
      }
    })
    this.databases.push(database)
    await database.start()
    record(id, 'has started')
    return database
  }

  find (id) {
    return this.databases.find(database => database.id === id)
  }

  async drain (id) {
    this.record(id, 'leaves as planned')
    await this.find(id).drain()
    this.record(id, 'draining is acknowledged')
  }

  /** Ends the load, and tells whether LOST is broken: an acknowledged commit isn't in the log of the database that is promoted. */
  async checkLost () {
    await this.writers.stop()
    const { promotions, record, writers } = this
    if (promotions.length === 0) throw new Error('no database was promoted')
    const isAcknowledged = ([item, data]) => writers.acknowledged.some(known => known.item === item && known.data === data)
    const lost = promotions.flatMap(({ id, acknowledgedButMissing }) => acknowledgedButMissing.flatMap(({ writes }) => writes).filter(isAcknowledged).map(([item, data]) => ({ promoted: id, item, data })))
    record('acknowledged to callers and not in the log of the promoted database:', lost)
    return lost.length > 0
  }

  /** Kills all processes of the system at once, and starts them again. */
  async restartHosts (downMs) {
    const { hosts, record } = this
    for (const { child } of hosts.list) child.kill('SIGKILL')
    record('all hosts are killed')
    await Promise.all(hosts.list.map(({ ended }) => ended))
    await sleep(downMs)
    for (const host of hosts.list) hosts.start(host, false)
    record('all hosts are started again')
  }

  async stop () {
    for (const database of this.databases) database.stop()
    this.platform.stop()
    await this.hosts.stop()
  }
}
