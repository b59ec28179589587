/** Processes of the product with little memory and few descriptors, and what they use. */
import { spawn, type ChildProcess } from 'node:child_process'
import { createWriteStream } from 'node:fs'
import { readdir, readFile } from 'node:fs/promises'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { expect } from 'chai'

const DIST_FOLDER = fileURLToPath(new URL('../../../dist', import.meta.url))
/** The limits of each process. */
const HEAP_MB = 64
const DESCRIPTORS = 256
/** What each process may use at most: the descriptors that are left are for peers, databases and operators. */
const MAX_MEMORY_KB = 192 * 1_024
const MAX_DESCRIPTORS = 224
const SAMPLE_INTERVAL_MS = 50

/** A process under test. */
export class LimitedProcess {
  readonly name: string
  readonly #child: ChildProcess
  readonly #sampling: NodeJS.Timeout
  #memoryKb = 0
  #descriptors = 0

  private constructor (name: string, child: ChildProcess) {
    this.name = name
    this.#child = child
    this.#sampling = setInterval(() => { this.#observe().catch(() => undefined) }, SAMPLE_INTERVAL_MS)
  }

  /** Starts a compiled program. */
  static create (name: string, script: string, args: readonly string[], environment: Readonly<Record<string, string>>, logFolder: string): LimitedProcess {
    const command = [process.execPath, `--max-old-space-size=${HEAP_MB}`, join(DIST_FOLDER, script), ...args]
    const child = spawn('bash', ['-c', `ulimit -n ${DESCRIPTORS}; exec "$0" "$@"`, ...command], { stdio: ['ignore', 'pipe', 'pipe'], env: { ...process.env, ...environment } })
    const log = createWriteStream(join(logFolder, `${name}.log`))
    child.stdout!.pipe(log)
    child.stderr!.pipe(log)
    return new LimitedProcess(name, child)
  }

  /** Fails if the process ended, or used more than it may. */
  async checkSound (): Promise<void> {
    await this.#observe().catch(() => undefined)
    const { exitCode, signalCode } = this.#child
    expect({ name: this.name, exitCode, signalCode }).to.deep.equal({ name: this.name, exitCode: null, signalCode: null })
    expect(this.#memoryKb, `memory of ${this.name} in KiB`).to.be.below(MAX_MEMORY_KB)
    expect(this.#descriptors, `descriptors of ${this.name}`).to.be.at.most(MAX_DESCRIPTORS)
  }

  /** What the process used at most so far. */
  describeUse (): string {
    return `${this.name}: ${this.#memoryKb} KiB, ${this.#descriptors} descriptors`
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    clearInterval(this.#sampling)
    if (this.#child.exitCode !== null || this.#child.signalCode !== null) return
    const ended = new Promise(resolve => this.#child.once('exit', resolve))
    this.#child.kill('SIGKILL')
    await ended
  }

  // The system keeps the peak of the memory, so no peak is missed between samples.
  async #observe (): Promise<void> {
    const folder = `/proc/${this.#child.pid}`
    const peak = /^VmHWM:\s+(\d+) kB$/m.exec(await readFile(`${folder}/status`, 'utf8'))
    this.#memoryKb = Math.max(this.#memoryKb, Number(peak?.[1] ?? 0))
    this.#descriptors = Math.max(this.#descriptors, (await readdir(`${folder}/fd`)).length)
  }
}
