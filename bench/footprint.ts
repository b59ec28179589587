/** Footprint: the control overhead of a host as the numbers of hosts, databases, workspaces, document changes and connections grow. */
import { mkdir } from 'node:fs/promises'
import { join } from 'node:path'
import { readDeployment, type Deployment } from '../demo/deployment.js'
import type { DatabasePlan, HostPlan, StartedHost } from '../demo/processes.js'
import { startSystem, type RunningSystem } from '../demo/system.js'
import { sendCommand } from '../src/operations/client.js'
import { closeClients, openClients } from './clients.js'
import { roundFigure } from './openloop.js'
import type { Row } from './report.js'
import { readUsage, type Usage } from './usage.js'
import { sleep } from '../demo/sleep.js'

const SETTLE_MS = 1_500
const SECONDS = 5
const DOMAINS = 3

interface Size {
  readonly hosts: number
  readonly groups: number
  readonly workspaces: number
  readonly changesPerSecond: number
  readonly connections: number
}

const BASE: Size = { hosts: 9, groups: 3, workspaces: 8, changesPerSecond: 0, connections: 0 }

const SIZES: readonly Size[] = [
  BASE,
  { ...BASE, hosts: 3 },
  { ...BASE, hosts: 18 },
  { ...BASE, hosts: 30 },
  { ...BASE, groups: 6 },
  { ...BASE, groups: 12 },
  { ...BASE, workspaces: 100 },
  { ...BASE, workspaces: 400 },
  { ...BASE, changesPerSecond: 1 },
  { ...BASE, changesPerSecond: 4 },
  { ...BASE, connections: 300 },
  { ...BASE, connections: 900 }
]

interface HostUsage extends Usage {
  readonly sentBytes: number
  readonly receivedBytes: number
}

/** Measures, at each size, the leader and a host that only serves callers. */
export async function runFootprint (directory: string): Promise<readonly Row[]> {
  const rows: Row[] = []
  for (const [index, size] of SIZES.entries()) rows.push(await observeSize(size, join(directory, `size-${index}`)))
  return rows
}

async function observeSize (size: Size, directory: string): Promise<Row> {
  await mkdir(directory, { recursive: true })
  const deployment = createDeployment(await readDeployment('atelier'), size)
  await using system = await startSystem(deployment, directory)
  const entry = system.hosts.find(host => !host.plan.control) ?? system.hosts[1]!
  const leader = await findLeader(system)
  const clients = size.connections === 0 ? [] : await openClients(deployment, deployment.workspaces[0]!, [entry], size.connections)
  await sleep(SETTLE_MS)
  const before = { leader: await readHost(leader), entry: await readHost(entry) }
  await changeDocuments(system, deployment, size.changesPerSecond)
  const after = { leader: await readHost(leader), entry: await readHost(entry) }
  await closeClients(clients)
  return { ...size, ...describeUsage('leader', before.leader, after.leader), ...describeUsage('entry', before.entry, after.entry) }
}

function describeUsage (name: string, before: HostUsage, after: HostUsage): Row {
  return {
    [`${name}CpuPercent`]: roundFigure(100 * (after.cpuSeconds - before.cpuSeconds) / SECONDS),
    [`${name}Mb`]: roundFigure(after.residentMb),
    [`${name}SentBytesPerSecond`]: Math.round((after.sentBytes - before.sentBytes) / SECONDS),
    [`${name}ReceivedBytesPerSecond`]: Math.round((after.receivedBytes - before.receivedBytes) / SECONDS)
  }
}

async function changeDocuments (system: RunningSystem, deployment: Deployment, perSecond: number): Promise<void> {
  if (perSecond === 0) return await sleep(SECONDS * 1_000)
  const endsAtMs = performance.now() + SECONDS * 1_000
  const operators = system.hosts[0]!.addresses.operators
  for (let version = 1; performance.now() < endsAtMs; version++) {
    await sendCommand(operators, { name: 'document/apply', text: deployment.documentText, version })
    await sleep(1_000 / perSecond)
  }
}

async function readHost (host: StartedHost): Promise<HostUsage> {
  const usage = await readUsage(host.process.child.pid!)
  const page = await (await fetch(`http://${host.addresses.operators}/metrics`)).text()
  return { ...usage, sentBytes: readBytes(page, 'sent'), receivedBytes: readBytes(page, 'received') }
}

function readBytes (page: string, direction: string): number {
  const lines = page.split('\n').filter(line => line.startsWith('fulmartally_peer_bytes_total') && line.includes(`direction="${direction}"`) && line.includes('purpose="control"'))
  return lines.reduce((total, line) => total + Number(line.slice(line.lastIndexOf(' '))), 0)
}

async function findLeader (system: RunningSystem): Promise<StartedHost> {
  const status = await sendCommand<{ readonly host: string }>(system.hosts[0]!.addresses.operators, { name: 'status' })
  return system.hosts.find(host => host.plan.name === status.host) ?? system.hosts[0]!
}

function createDeployment (template: Deployment, size: Size): Deployment {
  const document = JSON.parse(template.documentText) as { readonly workspaces: ReadonlyArray<Record<string, unknown>> }
  const names = Array.from({ length: size.groups }, (_, index) => `group-${index + 1}`)
  const workspaces = Array.from({ length: size.workspaces }, (_, index) => {
    const original = document.workspaces[index % document.workspaces.length]!
    return { ...original, name: `workspace-${index + 1}`, group: names[index % size.groups]! }
  })
  const keyed = workspaces.map((workspace, index) => ({ ...template.workspaces[index % template.workspaces.length]!, name: workspace.name, group: workspace.group }))
  return {
    ...template,
    hosts: Array.from({ length: size.hosts }, (_, index): HostPlan => ({ name: `host-${index + 1}`, failureDomain: nameDomain(index), control: index < DOMAINS })),
    databases: names.flatMap(planGroup),
    workspaces: keyed,
    documentText: JSON.stringify({ ...document, groups: names.map(name => ({ name, databases: DOMAINS })), workspaces, routes: [] })
  }
}

function planGroup (group: string): readonly DatabasePlan[] {
  return Array.from({ length: DOMAINS }, (_, index) => ({ name: `${group}-${index + 1}`, group, failureDomain: nameDomain(index), primary: index === 0 }))
}

function nameDomain (index: number): string {
  return `domain-${index % DOMAINS + 1}`
}
