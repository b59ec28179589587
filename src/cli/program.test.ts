import { expect } from 'chai'
import { hashKey } from '../admission/keys.js'
import { parseDocument } from '../documents/document.js'
import type { CommandInput } from '../operations/client.js'
import { runProgram } from './program.js'
import { Terminal } from './terminal.js'

const DOCUMENT = `{
  // Kept by the edits.
  "service": "rota", "owners": ["ana"], "groups": [{ "name": "a", "databases": 3 }],
  "workspaces": [{ "name": "parish", "rate": 5, "burst": 5, "group": "a" }]
}`

/** A host with one document, which other operators change `races` times between show and apply. */
class FakeTerminal extends Terminal {
  readonly printed: string[] = []
  readonly errors: string[] = []
  readonly calls: Array<{ readonly host: string, readonly name: string, readonly requestId: string }> = []
  text = DOCUMENT
  version = 1
  races = 0
  broken: Readonly<Record<string, unknown>> = {}

  write (text: string): void { this.printed.push(text) }
  writeError (text: string): void { this.errors.push(text) }
  async readFile (): Promise<string> { return this.text }
  async * readLines (): AsyncGenerator<string> { yield * this.text.split('\n') }
  async writeFile (): Promise<void> {}

  async send (host: string, command: CommandInput, requestId: string): Promise<unknown> {
    this.calls.push({ host, name: command.name, requestId })
    if (host === 'down') throw new Error('connection refused')
    if (this.broken[host] !== undefined) return this.broken[host]
    if (command.name === 'document/show') return { service: 'rota', version: this.version, text: this.text }
    if (command.name !== 'document/apply') return { error: 'unknown-command', text: 'Is not known.' }
    if (this.races-- > 0) this.version++
    if (command.version !== this.version) return { accepted: false, conflict: this.version }
    this.text = command.text
    this.version++
    return { accepted: true, version: this.version }
  }
}

const run = async (terminal: FakeTerminal, ...args: readonly string[]): Promise<number> => await runProgram(args, terminal, { FULMARTALLY_HOST: 'up' })

describe('the command line', () => {
  it('creates a key, shows it once, and stores only its hash; retries when another operator was faster', async () => {
    const terminal = new FakeTerminal()
    terminal.races = 2
    expect(await run(terminal, 'key', 'create', 'rota', 'parish', 'k1')).to.equal(0)
    const [key] = terminal.printed
    expect(terminal.printed).to.have.length(1)
    expect(terminal.text).to.include('// Kept by the edits.').and.not.include(key)
    expect(parseDocument(terminal.text).unwrapOr(undefined)?.workspaces[0]!.keys).to.deep.equal([{ id: 'k1', sha256: hashKey(key!) }])
    expect(terminal.version).to.equal(4)
    expect(await run(terminal, 'key', 'withdraw', 'rota', 'parish', 'k1')).to.equal(0)
    expect(parseDocument(terminal.text).unwrapOr(undefined)?.workspaces[0]!.keys).to.deep.equal([])
    expect(await run(terminal, 'key', 'withdraw', 'rota', 'parish', 'k1')).to.equal(1)
  })

  it('stops retrying an edit that is always in conflict', async () => {
    const terminal = new FakeTerminal()
    terminal.races = 100
    expect(await run(terminal, 'key', 'create', 'rota', 'parish', 'k1')).to.equal(1)
    expect(terminal.printed).to.deep.equal([])
  })

  it('tries the next host with the same request id, and reports why no host executed the command', async () => {
    const terminal = new FakeTerminal()
    terminal.broken = { lost: { error: 'no-answer', text: 'Late.' } }
    expect(await run(terminal, 'apply', 'f', '--version', '1', '--host', 'down', '--host', 'lost', '--host', 'up')).to.equal(0)
    expect(terminal.calls.map(call => call.host)).to.deep.equal(['down', 'lost', 'up'])
    expect(new Set(terminal.calls.map(call => call.requestId)).size).to.equal(1)
    expect(await run(terminal, 'apply', 'f', '--host', 'down')).to.equal(69)
    expect(await run(terminal, 'apply', 'f', '--host', 'down', '--host', 'lost')).to.equal(75)
    expect(await run(terminal, 'apply', 'f', '--version', '1')).to.equal(1)
    expect(await run(terminal, 'primary', 'move', 'a', 'a2')).to.equal(1)
  })

  it('has exit codes for wrong usage and findings, and a help text for every command', async () => {
    const terminal = new FakeTerminal()
    for (const args of [['nonsense'], ['apply'], ['apply', 'f', '--version', '-1'], ['check', 'nothing', 'f'], ['timeline', '--since', 'soon'], ['key', 'grant', 'rota', 'parish', 'k', '--sha256', 'x']]) {
      expect(await run(terminal, ...args), args.join(' ')).to.equal(2)
    }
    expect(await runProgram(['status'], terminal, {})).to.equal(2)
    for (const command of ['apply', 'show', 'list', 'key', 'status', 'drain', 'evacuate', 'primary', 'timeline', 'check']) {
      expect(await run(terminal, command, '--help'), command).to.equal(0)
      expect(terminal.printed.pop(), command).to.match(/Exit codes/)
    }
    terminal.text = '{ "service": "a b", "owners": [], "colour": 1 }'
    expect(await run(terminal, 'check', 'document', 'f.jsonc')).to.equal(65)
    const [found] = terminal.printed.slice(-1)
    expect(found!.split('\n')).to.have.length(4)
    expect(found).to.match(/^f\.jsonc:1:\d+ colour: Unknown name: check its spelling or remove it\.$/m)
  })

  it('tells doubts about a document with their place, and what differs from the version in force, before it is sent', async () => {
    const terminal = new FakeTerminal()
    expect(await run(terminal, 'check', 'document', 'f.jsonc')).to.equal(0)
    expect(terminal.printed.at(-2)).to.equal('f.jsonc: no findings.')
    expect(terminal.printed.at(-1)).to.match(/^Accepted, but doubtful:\nf\.jsonc:3:\d+ groups\[0\]: No route leads to group a/)
    expect(await run(terminal, 'check', 'document', 'f.jsonc', '--current', '--host', 'up')).to.equal(0)
    expect(terminal.printed.at(-1)).to.equal('Nothing differs.')
    expect(terminal.calls.map(({ name }) => name)).to.deep.equal(['document/show'])
    expect(await run(terminal, 'check', 'document', 'f.jsonc', '--against', 'g.jsonc', '--json')).to.equal(0)
    expect(JSON.parse(terminal.printed.at(-1)!)).to.deep.include({ file: 'f.jsonc', findings: [], differences: [] })
    expect(await run(terminal, 'check', 'document', 'f.jsonc', '--current', '--host', 'down')).to.equal(69)
  })
})
