/** The program for the platform and its settings file. */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'chai'
import { pollUntil } from './support/poll.js'
import { pickPorts } from './support/wire.js'

const WRITTEN_AFTER_MS = 4_000

describe('a settings file that is still written when the program starts', () => {
  it('is awaited, and does not end the program', async () => {
    const folder = await mkdtemp(join(tmpdir(), 'settings-'))
    const file = join(folder, 'boot.conf')
    const [peers, operators, ready] = await pickPorts(3)
    await writeFile(file, 'node=front-1\nip=127.0.0.1\n')
    const child = spawn(process.execPath, ['--import', 'tsx', 'platform/main.ts'], { env: { ...process.env, FULMARTALLY_SETTINGS: file }, stdio: ['ignore', 'pipe', 'pipe'] })
    const exited = once(child, 'exit')
    let output = ''
    child.stdout.on('data', chunk => { output += String(chunk) })
    child.stderr.on('data', chunk => { output += String(chunk) })
    await new Promise(resolve => setTimeout(resolve, WRITTEN_AFTER_MS))
    await writeFile(file, `node=front-1\nip=127.0.0.1\nzone=a\ninternal_ports=${peers},${operators}\nlisten.ready=127.0.0.1:${ready}\nseeds=127.0.0.1:1\n`)
    await pollUntil('the start of the host', async () => output.includes('started; it serves no callers') || child.exitCode !== null)
    expect(child.exitCode, output).to.equal(null)
    child.kill()
    await exited
    await rm(folder, { recursive: true })
  })
})
