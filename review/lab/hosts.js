/** Starts the project's own programs as separate processes on loopback addresses, with the commands of the deploy file. */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { createWriteStream, mkdtempSync, readdirSync, readFileSync, readlinkSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

export const REPOSITORY = fileURLToPath(new URL('../..', import.meta.url))
const ZONES = ['zone-a', 'zone-b', 'zone-c']
const READY_TIMEOUT_MS = 20_000

/** Reads the command of a role from the deploy file. */
function readCommand (role) {
  const text = readFileSync(join(REPOSITORY, 'deploy/system.toml'), 'utf8')
  const section = text.slice(text.indexOf(`[roles.${role}]`))
  return /^run = "([^"]+)"/m.exec(section)[1].split(' ')
}

/** Picks ports that are free on 127.0.0.1. */
export async function pickPorts (count) {
  const servers = Array.from({ length: count }, () => createServer())
  await Promise.all(servers.map(server => once(server.listen(0, '127.0.0.1'), 'listening')))
  const ports = servers.map(server => server.address().port)
  await Promise.all(servers.map(server => once(server.close(), 'close')))
  return ports
}

/** Control and entry hosts in three zones, each a process on an IP address of its own. */
export class Hosts {
  #directory = mkdtempSync(join(tmpdir(), 'review-'))
  #net = `127.${20 + process.pid % 200}`
  #processes = []

  /** Writes the settings of all hosts; starts nothing yet. */
  static async create ({ fronts = 3, control = 3, platform, extra = [] }) {
    const hosts = new Hosts()
    const [peers, operators, front, ready, controlPort, databasePort] = await pickPorts(6)
    hosts.databasePort = databasePort
    hosts.list = [
      ...Array.from({ length: control }, (_, index) => ({ name: `control-${index + 1}`, role: 'control', zone: ZONES[index % 3], ip: hosts.pickIp() })),
      ...Array.from({ length: fronts }, (_, index) => ({ name: `front-${index + 1}`, role: 'entry', zone: ZONES[index % 3], ip: hosts.pickIp() }))
    ]
    const seeds = hosts.list.filter(({ role }) => role === 'control').slice(0, 3).map(({ ip }) => `${ip}:${controlPort}`)
    for (const host of hosts.list) {
      host.settingsFile = join(hosts.#directory, `${host.name}.conf`)
      if (host.role === 'control') Object.assign(host, { control: `${host.ip}:${controlPort}`, data: join(hosts.#directory, `${host.name}-data`) })
      else Object.assign(host, { callers: `${host.ip}:${front}`, ready: `${host.ip}:${ready}` })
      host.metrics = `${host.ip}:${operators}`
      host.settings = [
        `node=${host.name}`,
        `role=${host.role}`,
        `machine_class=${host.role === 'control' ? 'core' : 'front'}`,
        `serves=${host.role === 'control' ? 'control' : 'front'}`,
        `ip=${host.ip}`,
        `zone=${host.zone}`,
        'region=area-1',
        ...ZONES.map(zone => `zones.${zone}=area-1`),
        ...(host.role === 'control' ? [`listen.control=${host.control}`, `data_dir=${host.data}`] : [`listen.front=${host.callers}`, `listen.ready=${host.ready}`]),
        `internal_ports=${peers},${operators}`,
        `seeds=${seeds.join(',')}`,
        'bootstrap=true',
        `in_tolerance=${host.role === 'control'}`,
        'limits.cpu_share=0.675',
        'limits.cores=1',
        'limits.memory_mb=350',
        'limits.max_fds=4200',
        'beat_interval_ms=1200',
        'tolerate.machines=1',
        'tolerate.zones=1',
        'bounds.contact_ms=4000',
        'bounds.drain_ms=7000',
        'bounds.grace_s=6',
        'bounds.config_apply_ms=3000',
        'bounds.strict_revoke=false',
        `cloud.address=${platform}`,
        'cloud.duties=promotion',
        'config_mode=highest',
        ...extra
      ]
    }
    return hosts
  }

  /** Returns an unused loopback address. */
  pickIp () {
    this.lastIp = (this.lastIp ?? 10) + 1
    return `${this.#net}.0.${this.lastIp}`
  }

  get control () {
    return this.list.filter(({ role }) => role === 'control').map(({ control }) => control)
  }

  get fronts () {
    return this.list.filter(({ role }) => role === 'entry')
  }

  find (name) {
    return this.list.find(host => host.name === name)
  }

  startAll () {
    for (const host of this.list) this.start(host)
  }

  /** Starts a host; `bootstrap` is true only when the whole system starts for the first time. */
  start (host, bootstrap = true) {
    const lines = host.settings.map(line => (line.startsWith('bootstrap=') ? `bootstrap=${bootstrap}` : line))
    writeFileSync(host.settingsFile, `${lines.join('\n')}\n`)
    const [command, ...words] = readCommand(host.role)
    const child = spawn(command, words, { cwd: REPOSITORY, env: { PATH: process.env.PATH, HOME: process.env.HOME, FULMARTALLY_SETTINGS: host.settingsFile }, stdio: ['ignore', 'pipe', 'pipe'] })
    host.child = child
    host.ended = once(child, 'exit')
    const log = createWriteStream(join(this.#directory, `${host.name}.log`), { flags: 'a' })
    child.stdout.pipe(log, { end: false })
    child.stderr.pipe(log, { end: false })
    this.#processes.push(child)
  }

  /**
   * Finds the host whose process has connected from a local port: on loopback, all of them connect from 127.0.0.1. Reads the
   * sockets of the processes that were started here.
   */
  findByPort (port) {
    const inode = findInode(port)
    return inode === undefined ? undefined : this.list.find(({ child }) => child !== undefined && hasSocket(child.pid, inode))
  }

  /** Returns what a host wrote to its output. */
  readLog (host) {
    return readFileSync(join(this.#directory, `${host.name}.log`), 'utf8')
  }

  /** Waits until all entry hosts are ready. */
  async awaitReady () {
    const endsAtMs = Date.now() + READY_TIMEOUT_MS
    for (const { ready } of this.fronts) {
      while (!await checkReady(ready)) {
        if (Date.now() > endsAtMs) throw new Error(`${ready} is not ready`)
        await new Promise(resolve => setTimeout(resolve, 100))
      }
    }
  }

  /** Ends all processes that were started, and removes their files. */
  async stop () {
    for (const child of this.#processes) if (child.exitCode === null && child.signalCode === null) child.kill('SIGKILL')
    await Promise.all(this.list.filter(({ ended }) => ended !== undefined).map(({ ended }) => ended))
    if (process.env.KEEP_LOGS === undefined) rmSync(this.#directory, { recursive: true, force: true })
    else process.stderr.write(`logs: ${this.#directory}\n`)
  }
}

async function checkReady (address) {
  try {
    const response = await fetch(`http://${address}/-/readiness`, { signal: AbortSignal.timeout(1_000) })
    await response.arrayBuffer()
    return response.status === 200
  } catch {
    return false
  }
}

// The fields of a line: number, local address, remote address, state, queues, timer, retransmissions, user, timeout, inode.
function findInode (port) {
  const suffix = `:${port.toString(16).toUpperCase().padStart(4, '0')}`
  const lines = readFileSync('/proc/net/tcp', 'utf8').split('\n').slice(1).map(line => line.trim().split(/\s+/))
  return lines.find(fields => fields[1]?.endsWith(suffix) && fields[3] !== '0A' && fields[9] !== '0')?.[9]
}

function hasSocket (pid, inode) {
  try {
    return readdirSync(`/proc/${pid}/fd`).some(name => readLink(`/proc/${pid}/fd/${name}`) === `socket:[${inode}]`)
  } catch {
    return false
  }
}

function readLink (path) {
  try {
    return readlinkSync(path)
  } catch {
    return ''
  }
}
