/** Control hosts in separate processes: killed, frozen, without their disks, and all restarted at once. */
import { mkdtemp, readdir, readFile, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'chai'
import { endProcesses, restartHost, startHosts, type StartedHost } from '../demo/processes.js'
import type { ControlStatus } from '../src/agreement/messages.js'
import { sendCommand } from '../src/operations/client.js'
import { pollUntil } from './support/poll.js'

interface ApplyOutcome {
  readonly accepted?: boolean
  readonly version?: number
  readonly conflict?: number
  readonly error?: string
  readonly force?: { readonly confirmed: readonly string[], readonly lapsed: readonly string[], readonly pending: readonly string[] }
}

const createDocumentText = (service: string, note = ''): string => `// ${note}\n${JSON.stringify({ service, owners: ['ana'], groups: [{ name: 'g', databases: 3 }] })}`

describe('the control hosts', function () {
  this.timeout(120_000)
  let directory: string
  let hosts: readonly StartedHost[] = []

  const apply = async (host: StartedHost, service: string, version: number, requestId?: string, wait = false): Promise<ApplyOutcome> =>
    await sendCommand<ApplyOutcome>(host.addresses.operators, { name: 'document/apply', text: createDocumentText(service, requestId), version, wait }, requestId)
  const readStatus = async (host: StartedHost): Promise<ControlStatus> => await sendCommand<ControlStatus>(host.addresses.operators, { name: 'control/status' })
  const readVersion = async (host: StartedHost, service: string): Promise<number> =>
    (await sendCommand<{ readonly version: number }>(host.addresses.operators, { name: 'document/show', service })).version
  const findLeader = async (among: readonly StartedHost[] = hosts.slice(0, 3)): Promise<StartedHost> => {
    let leader: StartedHost | undefined
    await pollUntil('a leader', async () => {
      const statuses = await Promise.all(among.map(readStatus))
      const index = statuses.findIndex(status => status.role === 'leader')
      leader = among[index]
      return leader !== undefined
    })
    return leader!
  }
  const awaitMembers = async (): Promise<void> => await pollUntil('a group of all control hosts', async () => {
    const statuses = await Promise.all(hosts.slice(0, 3).map(readStatus))
    return statuses.every(status => status.leader !== undefined && status.oldMembers === undefined && status.members[status.host] === status.incarnation &&
      JSON.stringify(status.members) === JSON.stringify(statuses[0]!.members))
  })
  const kill = async (...killed: readonly StartedHost[]): Promise<void> => await endProcesses(killed.map(host => host.process))

  before(async () => {
    directory = await mkdtemp(join(tmpdir(), 'fulmartally-agreement-'))
    const plans = ['north', 'east', 'south', 'west'].map((failureDomain, index) => ({ name: `host-${index + 1}`, failureDomain, control: index < 3 }))
    hosts = await startHosts(plans, directory)
    await findLeader()
  })

  after(async () => {
    await kill(...hosts)
    await rm(directory, { recursive: true, force: true })
  })

  it('accept a document through any host, and report when every host has it in force', async () => {
    const outcome = await apply(hosts[3]!, 'first', 0, 'r1', true)
    expect(outcome).to.deep.include({ accepted: true, version: 1 })
    expect(outcome.force).to.deep.include({ pending: [], lapsed: [] })
    expect([...outcome.force!.confirmed].sort()).to.deep.equal(hosts.map(host => host.plan.name))
  })

  it('accept one of several changes to the same version, and repeat the first outcome of a request', async () => {
    const outcomes = await Promise.all(hosts.map(async (host, index) => await apply(host, 'first', 1, `race-${index}`)))
    expect(outcomes.filter(outcome => outcome.accepted)).to.have.length(1)
    expect(outcomes.filter(outcome => outcome.conflict === 2)).to.have.length(3)
    const repeated = await Promise.all(hosts.map(async (_, index) => await apply(hosts[0]!, 'first', 1, `race-${index}`)))
    const pickResult = ({ accepted, version, conflict }: ApplyOutcome): ApplyOutcome => ({ accepted, version, conflict })
    expect(repeated.map(pickResult)).to.deep.equal(outcomes.map(pickResult))
  })

  it('refuse an incomplete command', async () => {
    const outcome = await sendCommand<{ readonly error: string }>(hosts[0]!.addresses.operators, { name: 'document/apply' } as never)
    expect(outcome.error).to.equal('bad-command')
  })

  it('keep every accepted document and the outcome of every request after kill -9 of the leader', async () => {
    await apply(hosts[0]!, 'killed', 0, 'k1')
    const leader = await findLeader()
    await kill(leader)
    const outcome = await apply(hosts[3]!, 'killed', 1, 'k2')
    expect(outcome).to.deep.include({ accepted: true, version: 2 })
    expect(await apply(hosts[3]!, 'killed', 0, 'k1')).to.deep.include({ accepted: true, version: 1 })
    await restartHost(leader, directory)
    await awaitMembers()
  })

  it('accept documents while the leader is frozen, which becomes a follower when it resumes', async () => {
    const leader = await findLeader()
    leader.process.child.kill('SIGSTOP')
    expect(await apply(hosts[3]!, 'frozen', 0, 'f1')).to.deep.include({ accepted: true })
    leader.process.child.kill('SIGCONT')
    await awaitMembers()
    expect(await apply(leader, 'frozen', 1, 'f2')).to.deep.include({ accepted: true, version: 2 })
  })

  it('replace a host that lost its data folder, and tolerate the loss of a second host right after', async () => {
    const leader = await findLeader()
    const [lost, other] = hosts.slice(0, 3).filter(host => host !== leader)
    const { incarnation } = await readStatus(lost!)
    await kill(lost!)
    await apply(hosts[3]!, 'replaced', 0, 'p1')
    await rm(lost!.dataFolder!, { recursive: true })
    await restartHost(lost!, directory)
    await awaitMembers()
    expect((await readStatus(lost!)).incarnation).to.not.equal(incarnation)
    await kill(other!)
    expect(await apply(hosts[3]!, 'replaced', 1, 'p2')).to.deep.include({ accepted: true, version: 2 })
    await kill(leader)
    await restartHost(other!, directory)
    await findLeader([lost!, other!])
    expect(await readVersion(hosts[3]!, 'replaced')).to.equal(2)
    await restartHost(leader, directory)
    await awaitMembers()
  })

  it('replace a host after corruption in the middle of a journal file', async () => {
    const leader = await findLeader()
    const damaged = hosts.slice(0, 3).find(host => host !== leader)!
    const { incarnation } = await readStatus(damaged)
    await kill(damaged)
    const name = (await readdir(damaged.dataFolder!)).filter(file => file.startsWith('records-')).sort().at(-1)!
    const bytes = await readFile(join(damaged.dataFolder!, name))
    bytes[Math.floor(bytes.length / 3)]! ^= 0x10
    await writeFile(join(damaged.dataFolder!, name), bytes)
    await restartHost(damaged, directory)
    await awaitMembers()
    expect((await readStatus(damaged)).incarnation).to.not.equal(incarnation)
  })

  it('keep 500 documents through a restart of all hosts', async () => {
    for (let start = 0; start < 500; start += 50) {
      const outcomes = await Promise.all(Array.from({ length: 50 }, async (_, index) => await apply(hosts[index % 4]!, `bulk-${start + index}`, 0)))
      expect(outcomes.filter(outcome => outcome.accepted)).to.have.length(50)
    }
    await kill(...hosts)
    const restartedAtMs = performance.now()
    await Promise.all(hosts.map(async host => await restartHost(host, directory)))
    const readyAtMs = performance.now()
    await pollUntil('all documents to be listed', async () => {
      const list = await sendCommand<{ readonly services?: readonly unknown[] }>(hosts[3]!.addresses.operators, { name: 'document/list' })
      return (list.services?.length ?? 0) >= 500
    })
    process.stdout.write(`restart after 500 documents: processes ready after ${Math.round(readyAtMs - restartedAtMs)} ms, documents served after ${Math.round(performance.now() - restartedAtMs)} ms\n`)
    expect(await readVersion(hosts[3]!, 'bulk-499')).to.equal(1)
  })

  it('accept nothing when two of three lost their disks, and form no second group', async () => {
    const [first, second, third] = hosts
    const { group } = await readStatus(third!)
    await kill(first!, second!)
    for (const host of [first!, second!]) await rm(host.dataFolder!, { recursive: true })
    for (const host of [first!, second!]) await restartHost(host, directory)
    const outcome = await apply(hosts[3]!, 'closed', 0)
    expect(outcome.error).to.be.oneOf(['no-leader', 'outcome-unknown'])
    const statuses = await Promise.all([first!, second!, third!].map(readStatus))
    expect(statuses.map(status => status.role === 'leader')).to.deep.equal([false, false, false])
    expect(statuses.map(status => status.group)).to.deep.equal([undefined, undefined, group])
  })
})
