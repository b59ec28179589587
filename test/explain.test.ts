/** Traces a request ID to its cause with `explain` alone: logs of real processes, three kinds of fault. */
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'chai'
import type pg from 'pg'
import { endProcesses, startDatabases, startHosts, type StartedDatabase, type StartedHost } from '../demo/processes.js'
import { createKey } from '../src/admission/keys.js'
import { runProgram } from '../src/cli/program.js'
import { ProcessTerminal, Terminal } from '../src/cli/terminal.js'
import { sendCommand, type CommandInput } from '../src/operations/client.js'
import { connectCaller } from './support/caller.js'
import { pollUntil } from './support/poll.js'

const DOMAINS = ['north', 'east', 'south']
const KEY = createKey()
const GREEDY_KEY = createKey()
/** Exceeds the burst of the greedy workspace. */
const BURST_REQUESTS = 30
/** Enough reads that some reach the frozen replica and are retried elsewhere after a fraction of the latency target. */
const READS = 40
const DOCUMENT = {
  service: 'rota',
  owners: ['ana'],
  groups: [{ name: 'a', databases: 3 }],
  workspaces: [
    { name: 'parish', rate: 3_000, burst: 3_000, group: 'a', keys: [{ id: 'k1', sha256: KEY.sha256 }] },
    { name: 'greedy', rate: 2, burst: 2, group: 'a', keys: [{ id: 'k2', sha256: GREEDY_KEY.sha256 }] }
  ],
  routes: [{ name: 'view', action: 'read', maxStalenessMs: 5_000, latencyMs: 100, timeoutMs: 5_000 }]
}

interface Explanation {
  readonly cause: string
  readonly text: string
  readonly lines: ReadonlyArray<{ readonly fields: Readonly<Record<string, unknown>> }>
}

/** Captures the output; delegates everything else to the terminal of the process. */
class CapturingTerminal extends Terminal {
  readonly printed: string[] = []
  readonly #process = ProcessTerminal.create()

  static create (): CapturingTerminal {
    return new CapturingTerminal()
  }

  write (text: string): void { this.printed.push(text) }
  writeError (text: string): void { this.printed.push(text) }
  readLines (paths: readonly string[]): AsyncIterable<string> { return this.#process.readLines(paths) }
  async readFile (file: string): Promise<string> { return await this.#process.readFile(file) }
  async writeFile (file: string, text: string): Promise<void> { await this.#process.writeFile(file, text) }
  async send (host: string, command: CommandInput, requestId: string): Promise<unknown> { return await this.#process.send(host, command, requestId) }
}

describe('explain', () => {
  let directory: string
  let hosts: readonly StartedHost[] = []
  let databases: readonly StartedDatabase[] = []

  const connect = async (hostIndex: number, workspace = 'parish', key = KEY): Promise<pg.Client> => await connectCaller(hosts[hostIndex]!, { workspace, key: key.key })

  const explain = async (id: string): Promise<Explanation | undefined> => {
    const terminal = CapturingTerminal.create()
    const code = await runProgram(['explain', id, directory, '--json'], terminal, {})
    return code === 0 ? JSON.parse(terminal.printed[0]!) as Explanation : undefined
  }

  const awaitExplanation = async (id: string): Promise<Explanation> => {
    let explained: Explanation | undefined
    await pollUntil(`an explanation of ${id}`, async () => {
      explained = await explain(id)
      return explained !== undefined
    })
    return explained!
  }

  const findDatabase = (name: string): StartedDatabase => databases.find(database => database.plan.name === name)!

  before(async () => {
    directory = await mkdtemp(join(tmpdir(), 'fulmartally-'))
    hosts = await startHosts(DOMAINS.map((failureDomain, index) => ({ name: `host-${index + 1}`, failureDomain, control: true })), directory)
    databases = await startDatabases(DOMAINS.map((failureDomain, index) => ({ name: `a${index + 1}`, group: 'a', failureDomain, primary: index === 0 })), hosts, [KEY.key, GREEDY_KEY.key], directory)
    await pollUntil('the document to be accepted', async () => (await sendCommand<{ accepted: boolean }>(hosts[0]!.addresses.operators, { name: 'document/apply', text: JSON.stringify(DOCUMENT), version: 0 }, 'explain')).accepted)
    for (const hostIndex of hosts.keys()) {
      await pollUntil('a query through the host', async () => {
        const client = await connect(hostIndex)
        await client.query('CREATE TABLE IF NOT EXISTS swaps (id text)').finally(async () => await client.end())
        return true
      })
    }
  })

  after(async () => {
    await endProcesses([...hosts, ...databases].map(started => started.process))
    await rm(directory, { recursive: true, force: true })
  })

  it('traces a refusal to an exhausted rate', async () => {
    const client = await connect(1, 'greedy', GREEDY_KEY)
    const outcomes: Array<string | undefined> = []
    for (let number = 0; number < BURST_REQUESTS; number++) {
      outcomes.push(await client.query(`/*request='rate-${number}'*/ SELECT 1`).then(() => undefined, (error: pg.DatabaseError) => error.code))
    }
    await client.end()
    const refused = outcomes.findLastIndex(code => code === '53400')
    expect(refused).to.be.above(-1)
    const { cause, text, lines } = await awaitExplanation(`rate-${refused}`)
    expect(cause).to.equal('rate')
    expect(text).to.include('greedy')
    expect(lines.length).to.equal(1)
  }).timeout(60_000)

  it('traces a slow read to an unresponsive replica', async () => {
    const client = await connect(1)
    // Reads go to the primary until the host has a fresh sample of the primary's position.
    let warmups = 0
    await pollUntil('a read through the replica', async () => {
      const id = `warmup-${++warmups}`
      await client.query(`/*request='${id}',route='view'*/ SELECT count(*) FROM swaps`)
      const { lines } = await awaitExplanation(id)
      return lines.some(line => line.fields.database === 'a2' && line.fields.purpose === 'replica')
    })
    const replica = findDatabase('a2').process.child
    replica.kill('SIGSTOP')
    try {
      for (let number = 0; number < READS; number++) await client.query(`/*request='late-${number}',route='view'*/ SELECT count(*) FROM swaps`)
    } finally {
      replica.kill('SIGCONT')
      await client.end()
    }
    const explained = await Promise.all(Array.from({ length: READS }, async (_, number) => await awaitExplanation(`late-${number}`)))
    const late = explained.filter(({ cause }) => cause === 'database-silent')
    expect(late.length).to.be.above(0)
    expect(late[0]!.text).to.include('a2 through host host-2')
  }).timeout(60_000)

  it('traces an unknown outcome to a change of primary', async () => {
    const client = await connect(2)
    findDatabase('a1').process.child.kill('SIGSTOP')
    const code = await client.query("/*request='unknown-1'*/ INSERT INTO swaps (id) VALUES ('x')").then(() => undefined, (error: pg.DatabaseError) => error.code)
    findDatabase('a1').process.child.kill('SIGCONT')
    await client.end()
    expect(code).to.equal('40003')
    let explained = await awaitExplanation('unknown-1')
    await pollUntil('the change of primary in the logs', async () => {
      explained = await awaitExplanation('unknown-1')
      return explained.cause === 'primary-changed'
    })
    expect(explained.text).to.include('group a').and.include('a1')
  }).timeout(60_000)
})
