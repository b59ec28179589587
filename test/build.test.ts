/** Runs the build command of the deploy file in a folder of its own, with npm replaced by a script that notes its arguments. */
import { execFile } from 'node:child_process'
import { chmod, mkdir, mkdtemp, readFile, rm, utimes, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { delimiter, join } from 'node:path'
import { promisify } from 'node:util'
import { expect } from 'chai'

const EXECUTABLE = 0o755
const WORKING_BUNDLER = '#!/bin/sh\necho 0.28.2\n'
/** The header of an ELF file for a processor that no machine of the deployment has. */
const FOREIGN_BUNDLER = Buffer.concat([Buffer.from([0x7f, 0x45, 0x4c, 0x46, 2, 1, 1]), Buffer.alloc(57, 0xee)])

async function writeExecutable (file: string, content: string | Buffer): Promise<void> {
  await writeFile(file, content)
  await chmod(file, EXECUTABLE)
}

// Returns the arguments of each call of npm.
async function runBuild (bundler: string | Buffer, isLockNewer: boolean): Promise<readonly string[]> {
  const command = /^build = "(.*)"$/m.exec(await readFile('deploy/system.toml', 'utf8'))![1]!
  const folder = await mkdtemp(join(tmpdir(), 'build-'))
  try {
    const bin = join(folder, 'node_modules', '.bin')
    const commands = join(folder, 'commands')
    await mkdir(bin, { recursive: true })
    await mkdir(commands)
    await writeExecutable(join(bin, 'esbuild'), bundler)
    await writeExecutable(join(commands, 'npm'), '#!/bin/sh\necho "$*" >> calls\n')
    const lock = join(folder, 'package-lock.json')
    await writeFile(lock, '{}')
    const lockTime = new Date(Date.now() + (isLockNewer ? 60_000 : -60_000))
    await utimes(lock, lockTime, lockTime)
    await promisify(execFile)('sh', ['-c', command], { cwd: folder, env: { PATH: `${commands}${delimiter}${process.env.PATH}` } })
    return (await readFile(join(folder, 'calls'), 'utf8')).trim().split('\n')
  } finally {
    await rm(folder, { recursive: true, force: true })
  }
}

describe('the build of the deploy file', () => {
  it('installs nothing when the packages are newer than the lock file and run here', async () => {
    expect(await runBuild(WORKING_BUNDLER, false)).to.deep.equal(['run --silent bundle'])
  })

  it('installs when the lock file is newer', async () => {
    expect(await runBuild(WORKING_BUNDLER, true)).to.deep.equal(['ci --silent', 'run --silent bundle'])
  })

  it('installs when the packages are those of another kind of machine', async () => {
    expect(await runBuild(FOREIGN_BUNDLER, false)).to.deep.equal(['ci --silent', 'run --silent bundle'])
  })
})
