/** The built command line against hosts in separate processes. */
import { execFile } from 'node:child_process'
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { expect } from 'chai'
import { endProcesses, startHosts, type StartedHost } from '../demo/processes.js'
import { createKey, hashKey } from '../src/admission/keys.js'
import type { ApplyOutcome } from '../src/cli/documents.js'
import type { SystemStatus } from '../src/membership/operators.js'
import type { MergedTimeline } from '../src/timeline/messages.js'
import { pollUntil } from './support/poll.js'

const MAIN = fileURLToPath(new URL('../dist/src/cli/main.js', import.meta.url))
const DAEMON = fileURLToPath(new URL('../dist/src/daemon/main.js', import.meta.url))
const KEY = createKey()
const DOCUMENT = {
  service: 'rota',
  owners: ['ana'],
  groups: [{ name: 'a', databases: 3 }],
  workspaces: [{ name: 'parish', rate: 10, burst: 10, group: 'a', keys: [{ id: 'k1', sha256: KEY.sha256 }] }]
}

/** Exceeds the timeout of the command line for a host. */
const HANG_TIMEOUT_MS = 25_000
const hungCommands: string[] = []

interface ProgramResult {
  readonly code: number
  readonly out: string
  readonly error: string
}

const runScript = async (script: string, ...args: readonly string[]): Promise<ProgramResult> => await new Promise(resolve => {
  execFile(process.execPath, [script, ...args], { timeout: HANG_TIMEOUT_MS }, (error, out, errorText) => {
    if (error?.killed === true) hungCommands.push(args.join(' '))
    resolve({ code: Number(error?.code ?? 0), out, error: errorText })
  })
})

describe('the command line against running hosts', () => {
  let directory: string
  let hosts: readonly StartedHost[] = []
  let document: string

  const run = async (...args: readonly string[]): Promise<ProgramResult> => await runScript(MAIN, ...args, '--host', hosts[0]!.addresses.operators)
  const runAt = async (host: StartedHost, ...args: readonly string[]): Promise<ProgramResult> => await runScript(MAIN, ...args, '--host', host.addresses.operators)
  const fetchPage = async (host: StartedHost, path: string): Promise<Response> => await fetch(`http://${host.addresses.operators}${path}`)

  before(async () => {
    directory = await mkdtemp(join(tmpdir(), 'fulmartally-'))
    document = join(directory, 'rota.jsonc')
    await writeFile(document, JSON.stringify(DOCUMENT))
    hosts = await startHosts(['north', 'east', 'south'].map((failureDomain, index) => ({ name: `host-${index + 1}`, failureDomain, control: true })), directory)
    await pollUntil('all hosts in the directory', async () => (JSON.parse((await run('status', '--json')).out) as SystemStatus).hosts.length === 3)
  })

  after(async () => {
    await endProcesses(hosts.map(started => started.process))
    await rm(directory, { recursive: true, force: true })
  })

  it('applies a document once, and reports a version conflict', async () => {
    const accepted = await run('apply', document)
    expect(accepted).to.include({ code: 0, error: '' })
    expect(accepted.out).to.include('version 1')
    expect(await runAt(hosts[2]!, 'apply', document)).to.include({ code: 1, error: 'Not accepted: version 1 is current. Show it, repeat the edit, and apply it with --version.\n' })
  })

  it('creates and withdraws a key through the leader, and waits until the change is in force', async () => {
    const created = await run('key', 'create', 'rota', 'parish', 'k2', '--wait')
    expect(created.code).to.equal(0)
    const shown = await runAt(hosts[1]!, 'show', 'rota')
    expect(shown.out).to.include(hashKey(created.out.trim())).and.not.include(created.out.trim())
    expect((await run('key', 'withdraw', 'rota', 'parish', 'k2', '--wait')).code).to.equal(0)
    expect((await runAt(hosts[2]!, 'show', 'rota')).out).to.not.include(hashKey(created.out.trim()))
    const force = JSON.parse((await run('show', 'rota', '--force', '--json')).out) as ApplyOutcome
    expect(force).to.deep.include({ accepted: true, version: 3 })
    expect(force.force).to.deep.include({ lapsed: [], pending: [] })
    expect(force.force!.confirmed).to.have.members(['host-1', 'host-2', 'host-3'])
    expect((await run('list', '--json')).out).to.include('"version":3')
  })

  it('shows the status of the leader from every host, and with --local that of the host itself', async () => {
    for (const host of hosts) {
      const status = JSON.parse((await runAt(host, 'status', '--json')).out) as SystemStatus
      expect(status.leads).to.equal(true)
      expect(status.documents).to.deep.equal([{ service: 'rota', version: 3 }])
      await pollUntil('the document in force', async () => {
        const local = JSON.parse((await runAt(host, 'status', '--local', '--json')).out) as SystemStatus
        return local.host === host.plan.name && local.documents[0]?.version === 3
      })
    }
  })

  it('merges the events of all hosts, and writes them as an HTML page', async () => {
    const page = join(directory, 'events.html')
    const merged = JSON.parse((await runAt(hosts[1]!, 'timeline', '--since', '1h', '--json', '--html', page)).out) as MergedTimeline
    expect(merged.hosts).to.deep.equal(['host-1', 'host-2', 'host-3'])
    expect(merged.events.map(event => event.event)).to.include('document-accepted')
    expect(await readFile(page, 'utf8')).to.include('Document of rota is accepted at version 1.')
  })

  it('refuses malformed and unknown commands with a clear error, and keeps serving', async () => {
    expect(await run('drain', 'host-9')).to.deep.include({ code: 1 })
    const bodies = ['{', '[]', '{"name":"no/such"}', '{"name":"document/apply","text":1}', '{"name":"timeline/read","sinceMs":-1}']
    for (const command of bodies) {
      const answer = await fetch(`http://${hosts[0]!.addresses.operators}/fulmartally.v1.Operators/Operate`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ requestId: 'r1', command })
      })
      const outcome = JSON.parse((await answer.json() as { readonly outcome: string }).outcome) as { readonly error: string, readonly text: string }
      expect(outcome.error, command).to.match(/^(bad|unknown)-command$/)
      expect(outcome.text, command).to.not.equal('')
    }
    expect((await run('status')).code).to.equal(0)
  })

  it('begins and ends the evacuation of a failure domain, and refuses an unknown one', async () => {
    const readStatus = async (): Promise<SystemStatus> => JSON.parse((await run('status', '--json')).out) as SystemStatus
    const { failureDomain } = (await readStatus()).hosts[0]!
    expect((await run('evacuate', failureDomain)).code).to.equal(0)
    expect((await run('evacuate', failureDomain)).out).to.include(`Failure domain ${failureDomain} is evacuated.`)
    expect((await readStatus()).evacuated).to.deep.equal([failureDomain])
    expect((await run('status')).out).to.include(`Evacuated failure domains: ${failureDomain}.`)
    expect((await run('evacuate', failureDomain, '--end')).code).to.equal(0)
    expect((await readStatus()).evacuated).to.deep.equal([])
    expect(await run('evacuate', 'no-such-domain')).to.deep.include({ code: 1 })
  })

  it('serves metrics with units, health, and readiness, which ends with a drain', async () => {
    await pollUntil('readiness', async () => (await fetchPage(hosts[2]!, '/ready')).status === 200)
    expect(await runAt(hosts[0]!, 'drain', 'host-3')).to.include({ code: 0, out: 'Host host-3 is draining.\n' })
    const ready = await fetchPage(hosts[2]!, '/ready')
    expect([ready.status, await ready.json()]).to.deep.equal([503, { ready: false, inTouch: true, reason: 'draining' }])
    expect((await fetchPage(hosts[2]!, '/health')).status).to.equal(200)
    await pollUntil('the drain in the directory', async () => (JSON.parse((await run('status', '--json')).out) as SystemStatus).hosts.find(host => host.host === 'host-3')?.draining === true)
    const metrics = await (await fetchPage(hosts[0]!, '/metrics')).text()
    expect(metrics).to.match(/^fulmartally_beats_total\{outcome="answered"\} [1-9]/m)
    expect(metrics).to.match(/^fulmartally_peer_bytes_total\{direction="sent",purpose="control"\} [1-9]/m)
    expect((await fetchPage(hosts[0]!, '/nothing')).status).to.equal(404)
  })

  it('prefixes log messages with their component, and logs neither a key nor its hash', async () => {
    const logs = (await Promise.all(hosts.map(async host => await readFile(join(directory, `${host.plan.name}.log`), 'utf8')))).join('\n')
    expect(logs).to.include('"msg":"daemon: Host host-1 started').and.include('"msg":"documents: Document of rota is accepted at version 1."')
    expect(logs).to.not.include(KEY.key).and.not.include(KEY.sha256)
  })

  it('completes every command within its timeout', () => {
    expect(hungCommands).to.deep.equal([])
  })

  it('does not start a daemon with invalid settings, and prints all findings', async () => {
    const file = join(directory, 'bad.jsonc')
    await writeFile(file, '{ "host": "h 1", "colour": 1, "callers": "nowhere", "peers": "127.0.0.1:0",\n  "operators": "127.0.0.1:99999", "control": [] }')
    const ended = await runScript(DAEMON, '--settings', file)
    expect(ended.code).to.equal(78)
    for (const path of ['host', 'failureDomain', 'colour', 'callers', 'operators', 'control']) expect(ended.error).to.include(` ${path}: `)
    expect((await runScript(DAEMON, '--settings', join(directory, 'none'))).code).to.equal(66)
    expect((await runScript(MAIN, 'check', 'settings', file)).code).to.equal(65)
  })
})
