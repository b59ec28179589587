/** A small deployment on loopback: the programs of the deploy file as separate processes, each on an address of its own. */
import { spawn } from 'node:child_process'
import { createWriteStream, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { NOT_RUN } from './record.js'

const REPOSITORY = fileURLToPath(new URL('..', import.meta.url))
const ZONES = ['quimper', 'brest', 'lorient']
/** The platform restarts a process that ended after a short delay. */
const RESTART_DELAY_MS = 500
const FORWARDED_VARIABLES = ['PATH', 'HOME', 'LANG']

/** Returns after a time. */
export async function sleep (ms) {
  await new Promise(resolve => setTimeout(resolve, ms))
}

/** Repeats a check until it returns something that is true; throws when the time is over. */
export async function awaitCondition (name, limitMs, check) {
  const endsAtMs = performance.now() + limitMs
  while (performance.now() < endsAtMs) {
    const outcome = await check()
    if (outcome) return outcome
    await sleep(50)
  }
  throw new Error(`${name}: not within ${limitMs} ms`)
}

/** Picks ports that are free on loopback. */
async function pickPorts (count) {
  const servers = Array.from({ length: count }, () => createServer())
  await Promise.all(servers.map(async server => await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))))
  const ports = servers.map(server => server.address().port)
  await Promise.all(servers.map(async server => await new Promise(resolve => server.close(resolve))))
  return ports
}

/** Reads the command of a role from the deploy file. */
function readCommand (role) {
  const text = readFileSync(join(REPOSITORY, 'deploy/system.toml'), 'utf8')
  const section = text.slice(text.indexOf(`[roles.${role}]`))
  return /^run = "(.*)"$/m.exec(section)[1].split(' ')
}

/** One machine with one process. */
class Machine {
  constructor (name, role, settings, folder, onExit) {
    this.name = name
    this.settings = settings
    this.role = role
    this.folder = folder
    this.onExit = onExit
    this.restarts = false
    /** Exits that no signal of this test caused. */
    this.ownExits = 0
    this.signalled = false
  }

  start () {
    const path = join(this.folder, `${this.name}.conf`)
    writeFileSync(path, Object.entries(this.settings).map(([name, value]) => `${name}=${value}\n`).join(''))
    const [program, ...words] = readCommand(this.role)
    const env = Object.fromEntries(FORWARDED_VARIABLES.flatMap(name => process.env[name] === undefined ? [] : [[name, process.env[name]]]))
    this.signalled = false
    this.process = spawn(program, words, { cwd: REPOSITORY, env: { ...env, FULMARTALLY_SETTINGS: path }, stdio: ['ignore', 'pipe', 'pipe'] })
    const log = createWriteStream(join(this.folder, `${this.name}.log`), { flags: 'a' })
    this.process.stdout.pipe(log, { end: false })
    this.process.stderr.pipe(log, { end: false })
    this.process.on('exit', (code, signal) => this.handleExit(code, signal))
  }

  handleExit (code, signal) {
    this.process = undefined
    if (!this.signalled) this.ownExits += 1
    this.onExit(this, code, signal, this.signalled)
    if (this.restarts && !this.signalled) setTimeout(() => { if (this.restarts) this.start() }, RESTART_DELAY_MS)
  }

  send (signal) {
    if (signal === 'SIGTERM' || signal === 'SIGKILL') this.signalled = true
    this.process?.kill(signal)
  }
}

/** Three control machines and some entry machines in three zones. */
export class Deployment {
  /**
   * Starts the processes.
   * @param options entries: the number of entry machines; platform: the address of the promotion API; settings: changes to the settings of all.
   */
  static async create ({ entries = 3, platform, settings = {}, onExit = () => undefined }) {
    const deployment = new Deployment()
    deployment.folder = mkdtempSync(join(tmpdir(), 'review-'))
    const [front, ready, control, peers, operators] = await pickPorts(5)
    const subnet = `127.${20 + process.pid % 200}.${Math.floor(Math.random() * 250)}`
    const ips = Array.from({ length: 3 + entries }, (_, index) => `${subnet}.${index + 1}`)
    deployment.control = ips.slice(0, 3).map(ip => `${ip}:${control}`)
    deployment.fronts = ips.slice(3).map(ip => `${ip}:${front}`)
    deployment.readiness = ips.slice(3).map(ip => `${ip}:${ready}`)
    const shared = {
      region: 'bzh-ouest',
      'zones.quimper': 'bzh-ouest',
      'zones.brest': 'bzh-ouest',
      'zones.lorient': 'bzh-ouest',
      internal_ports: `${peers},${operators}`,
      seeds: deployment.control.join(','),
      bootstrap: 'true',
      'limits.cpu_share': '0.675',
      'limits.memory_mb': '350',
      'limits.max_fds': '4200',
      discovery: 'registry',
      entry: 'vip',
      beat_interval_ms: '1200',
      contracts: 'base,drain,config,cost,recover,sql,tenants,quota',
      'tolerate.machines': '1',
      'tolerate.zones': '1',
      'tolerate.regions': '0',
      'bounds.contact_ms': '4000',
      'bounds.ack_ms': '5000',
      'bounds.catch_up_s': '4',
      'bounds.drain_ms': '7000',
      'bounds.grace_s': '6',
      'bounds.loss_slack_ms': '200',
      'bounds.config_apply_ms': '3000',
      'bounds.strict_revoke': 'false',
      'bounds.fence_checked': 'true',
      config_mode: 'highest',
      'cloud.address': platform,
      'cloud.rate_per_s': '50.0',
      'cloud.duties': 'promotion',
      'cloud.duty_per_s': '50.0',
      ...settings
    }
    deployment.machines = ips.map((ip, index) => {
      const isControl = index < 3
      const zone = ZONES[index % 3]
      const name = `${isControl ? 'core' : 'front'}-${zone}-${Math.floor(index / 3)}`
      const data = join(deployment.folder, `${name}.data`)
      if (isControl) mkdirSync(data)
      const own = isControl ? { 'listen.control': `${ip}:${control}`, data_dir: data } : { 'listen.front': `${ip}:${front}`, 'listen.ready': `${ip}:${ready}` }
      return new Machine(name, isControl ? 'control' : 'entry', { node: name, role: isControl ? 'control' : 'entry', serves: isControl ? 'control' : 'front', ip, zone, in_tolerance: String(isControl), ...shared, ...own }, deployment.folder, onExit)
    })
    // Whatever ends this script, its processes end with it.
    process.on('exit', () => deployment.machines.forEach(machine => machine.send('SIGKILL')))
    for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.on(signal, () => process.exit(NOT_RUN))
    for (const machine of deployment.machines) machine.start()
    return deployment
  }

  get controlMachines () {
    return this.machines.slice(0, 3)
  }

  get entryMachines () {
    return this.machines.slice(3)
  }

  /** Sends a desired state, to the next control machine until one answers clearly; returns the status. */
  async putState (state, first = 0) {
    const body = typeof state === 'string' ? state : JSON.stringify(state)
    for (let attempt = 0; attempt < 100; attempt++) {
      const address = this.control[(first + attempt) % this.control.length]
      const status = await fetch(`http://${address}/-/config/put`, { method: 'POST', headers: { 'content-type': 'application/json' }, body, signal: AbortSignal.timeout(5_000) })
        .then(async response => {
          await response.text()
          return response.status
        }, () => 0)
      if (status > 0 && status < 500) return status
      await sleep(100)
    }
    return 0
  }

  /** Tells whether an entry machine says that it is ready. */
  async isReady (index) {
    return await fetch(`http://${this.readiness[index]}/-/readiness`, { signal: AbortSignal.timeout(1_000) }).then(response => response.status === 200, () => false)
  }

  /** Ends all processes and removes their files. */
  async stop () {
    for (const machine of this.machines) {
      machine.restarts = false
      machine.send('SIGCONT')
      machine.send('SIGKILL')
    }
    await awaitCondition('the processes end', 5_000, async () => this.machines.every(machine => machine.process === undefined))
    if (process.env.KEEP !== '1') rmSync(this.folder, { recursive: true, force: true })
  }
}

/** Creates a desired state with one service, three routes and one tenant. */
export function createState (version, { service = 'dele69a', timeoutMs = 800, staleTimeoutMs = 2_000, ...change } = {}) {
  const route = { path_prefix: '/', target_latency_ms: 250, service, max_attempts: 2, public: false }
  return {
    version,
    routes: [
      { ...route, name: 'r-orders', host: 'orders', type: 'primary', timeout_ms: timeoutMs, priority: 1 },
      { ...route, name: 'r-views', host: 'views', type: 'bounded_staleness', timeout_ms: staleTimeoutMs, target_latency_ms: 500, priority: 2, max_staleness_ms: 1_500 },
      { ...route, name: 'r-queue', host: 'queue', type: 'read_your_writes', timeout_ms: timeoutMs, priority: 2, max_staleness_ms: 2_500 }
    ],
    services: [{ name: service, health_path: '/health', max_conns: 23, protocol: 'h1', tls: false, sync_replicas: 0 }],
    limits: { max_header_bytes: 16_384, max_body_bytes: 262_144, header_timeout_ms: 3_000, idle_timeout_ms: 15_000, txn_idle_ms: 3_000 },
    tenants: [
      { name: 'parish', api_keys: ['u6wsjnbanfqasnmgkcuy'], priority: 1, rate_per_s: 500, burst: 500 },
      { name: 'school', api_keys: ['j8pjbvk9m68k7b2ex5wa'], priority: 1, rate_per_s: 500, burst: 500 }
    ],
    ...change
  }
}

/** The key of the first tenant. */
export const KEY = 'u6wsjnbanfqasnmgkcuy'
/** The key of the second tenant. */
export const OTHER_KEY = 'j8pjbvk9m68k7b2ex5wa'
