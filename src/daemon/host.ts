/** A host: creates the loop, slices and adapters from the settings and connects them. */
import { randomBytes, randomUUID } from 'node:crypto'
import type { Catalog, CatalogCommand } from '../agreement/catalog.js'
import { recoverReplica } from '../agreement/recover.js'
import type { Message } from '../core/message.js'
import { TraceFile } from '../core/trace.js'
import { SystemClock, type Clock } from '../core/clock.js'
import { Loop } from '../core/loop.js'
import { FileJournal } from '../journal/files.js'
import { MemoryAccount } from '../memory/account.js'
import { calculateLimits, readMachine } from '../memory/limits.js'
import type { HostPost } from '../messages.js'
import type { Command } from '../operations/messages.js'
import { OperatorsServer } from '../operations/server.js'
import { Log } from '../monitoring/log.js'
import { Monitor } from '../monitoring/monitor.js'
import { ConnectPeerLink } from '../peers/connect.js'
import type { Settings } from '../settings/settings.js'
import { HybridLogicalClock } from '../timeline/clock.js'
import { TimelineRecorder } from '../timeline/record.js'
import type { Edge } from './edge.js'
import { ProcessExit } from './exit.js'
import { listenForOperators, listenForPeers, type ListeningServer } from './listen.js'
import { createSlices, PRIORITIES } from './slices.js'

const INCARNATION_BYTES = 8

/** The addresses at which a host listens. */
export interface HostAddresses {
  /** Absent on a host without callers. */
  readonly callers?: string
  readonly peers: string
  readonly operators: string
}

/** A running host. */
export class Host {
  readonly addresses: HostAddresses
  /** Starts a graceful stop; further calls have no effect. */
  readonly stop: () => void
  /** Resolves when a graceful stop is complete. */
  readonly stopped: Promise<void>
  /** The log of the process. */
  readonly log: Log
  readonly #post: HostPost
  readonly #components: ReadonlyArray<AsyncDisposable>

  private constructor (addresses: HostAddresses, stop: () => void, stopped: Promise<void>, post: HostPost, log: Log, components: ReadonlyArray<AsyncDisposable>) {
    this.addresses = addresses
    this.log = log
    this.stop = stop
    this.stopped = stopped
    this.#post = post
    this.#components = components
  }

  /**
   * Starts a host.
   * @example await using host = await Host.create(settings, fault => process.exit(70), PostgresEdge.create())
   * @param onFault called when the host can't continue, for example after a violated invariant or a failed write to the journal.
   * @param edge the protocols of callers, databases and their announcements. A program loads only the edge that it uses.
   * @throws an Error of the operating system when the host can't listen at an address or open a file.
   */
  static async create (settings: Settings, onFault: (fault: unknown) => void, edge: Edge): Promise<Host> {
    const stamps = HybridLogicalClock.create()
    const log = Log.create({ host: settings.host, level: settings.logLevel, stream: edge.logStream, clock: stamps })
    const clock = SystemClock.create()
    const monitor = Monitor.create(settings.host, log, clock, settings.authority === 'kept')
    const trace = settings.trace === undefined ? undefined : TraceFile.create(settings.trace.file, settings.trace.slices)
    const loop = createLoop(settings, clock, edge, monitor, trace, onFault)
    const journal = settings.dataFolder === undefined ? undefined : await FileJournal.create(settings.dataFolder, loop.post, onFault)
    if (journal !== undefined) loop.addAdapter(journal)
    const account = MemoryAccount.create(calculateLimits(settings.limits, readMachine()), loop.post)
    monitor.metrics.addHeldBytes(() => account.bytes)
    const link = ConnectPeerLink.create(settings.host, loop.post, (host, opened) => [
      { kind: 'requests/peer-lost', host, reached: opened } as Message,
      { kind: 'transactions/host-lost', host } as Message
    ], { clock: stamps, onTraffic: traffic => monitor.metrics.observeTraffic(traffic), account })
    const operatorsApi = OperatorsServer.create(loop.post)
    const operate = async (command: Command): Promise<unknown> => await operatorsApi.runCommand(randomUUID(), command)
    const adapters = edge.createAdapters({ settings, clock, post: loop.post, checkReadiness: monitor.checkReadiness, operate, log, account })
    const recorder = TimelineRecorder.create({ host: settings.host, clock: stamps, post: loop.post })
    const exit = ProcessExit.create()
    for (const adapter of [link, account, ...adapters, operatorsApi, log, recorder, exit]) loop.addAdapter(adapter)
    const peers = await listenForPeers(settings.peers, router => edge.addRoutes(router), log.reportServerError, link.handleRequest, account)
    const operators = await listenForOperators(settings.operators, router => operatorsApi.addRoutes(router), log.reportServerError, account, monitor.createPages())
    const callers = await edge.listen()
    startSlices(settings, loop, link, peers, journal)
    log.write('daemon', 'info', `Host ${settings.host} started; ${callers === undefined ? 'it serves no callers' : `callers connect to ${callers}`}.`)
    const addresses: HostAddresses = { callers, peers: peers.address, operators: operators.address }
    const post: HostPost = loop.post
    const stop = (): void => post({ kind: 'stopping/asked', limitMs: settings.limits.drainMs })
    return new Host(addresses, stop, exit.ended, post, log, [edge, operators, peers, link, account, loop, ...[journal, trace].filter(component => component !== undefined)])
  }

  /** Updates the addresses of the control hosts after a change of the settings. */
  updateControl (control: readonly string[]): void {
    this.#post({ kind: 'membership/control-changed', control })
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    for (const component of this.#components) await component[Symbol.asyncDispose]()
  }
}

function createLoop (settings: Settings, clock: Clock, edge: Edge, monitor: Monitor, trace: TraceFile | undefined, onFault: (fault: unknown) => void): Loop {
  return Loop.create({
    clock,
    slices: createSlices(settings, edge.guarantees, clock.read().monotonicMs),
    priorities: PRIORITIES,
    onFault,
    recorder: (message, moment) => {
      monitor.observeMessage(message, moment.monotonicMs)
      trace?.record(message, moment)
    },
    onHandled: monitor.observeHandled,
    observer: monitor.observeEffect
  })
}

function startSlices (settings: Settings, loop: Loop, link: ConnectPeerLink, peers: ListeningServer, journal: FileJournal | undefined): void {
  const control = settings.control.map(entry => entry.host)
  link.learnAddresses(settings.control)
  const post: HostPost = loop.post
  post({
    kind: 'membership/started',
    self: {
      kind: 'host',
      host: settings.host,
      incarnation: randomBytes(INCARNATION_BYTES).toString('hex'),
      failureDomain: settings.failureDomain,
      peers: peers.address,
      draining: false,
      control: settings.dataFolder !== undefined,
      apart: settings.callers === undefined
    },
    control
  })
  const recovered = journal === undefined ? undefined : recoverReplica<Catalog, CatalogCommand>(journal.contents)
  post({ kind: 'agreement/started', self: settings.host, control, forms: settings.forms, voters: settings.voters, recovered, damage: journal?.contents.damage })
  post({ kind: 'routing/ask-due' })
}
