/** The input and output of the command line, as an abstract class, so that tests need no processes. */
import { createReadStream } from 'node:fs'
import { readdir, readFile, stat, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { sendCommand, type CommandInput } from '../operations/client.js'
import { CliError, EXIT } from './exits.js'

/** Access to files, output and hosts for the commands. */
export abstract class Terminal {
  /** Prints a text and a line feed to standard output. */
  abstract write (text: string): void

  /** Prints a text and a line feed to standard error. */
  abstract writeError (text: string): void

  /** Reads a file. */
  abstract readFile (file: string): Promise<string>

  /** Reads the lines of files, and of the files in folders, one by one; reads standard input when no path is given. */
  abstract readLines (paths: readonly string[]): AsyncIterable<string>

  /** Writes a file. */
  abstract writeFile (file: string, text: string): Promise<void>

  /**
   * Sends a command to a host and returns its outcome.
   * @throws an Error when the host can't be reached.
   */
  abstract send (host: string, command: CommandInput, requestId: string): Promise<unknown>
}

/** The terminal of the process. */
export class ProcessTerminal extends Terminal {
  /**
   * Creates the terminal.
   * @example ProcessTerminal.create().write('Done.')
   */
  static create (): ProcessTerminal {
    return new ProcessTerminal()
  }

  write (text: string): void {
    process.stdout.write(`${text}\n`)
  }

  writeError (text: string): void {
    process.stderr.write(`${text}\n`)
  }

  async readFile (file: string): Promise<string> {
    return await readFile(file, 'utf8').catch((error: Error) => { throw CliError.create(EXIT.noInput, error.message) })
  }

  async * readLines (paths: readonly string[]): AsyncGenerator<string> {
    if (paths.length === 0) yield * createInterface({ input: process.stdin, crlfDelay: Infinity })
    for (const file of await listFiles(paths)) yield * createInterface({ input: createReadStream(file), crlfDelay: Infinity })
  }

  async writeFile (file: string, text: string): Promise<void> {
    await writeFile(file, text).catch((error: Error) => { throw CliError.create(EXIT.noInput, error.message) })
  }

  async send (host: string, command: CommandInput, requestId: string): Promise<unknown> {
    return await sendCommand(host, command, requestId)
  }
}

async function listFiles (paths: readonly string[]): Promise<readonly string[]> {
  const listed = await Promise.all(paths.map(async path => {
    const found = await stat(path).catch((error: Error) => { throw CliError.create(EXIT.noInput, error.message) })
    if (!found.isDirectory()) return [path]
    const entries = await readdir(path, { withFileTypes: true })
    return entries.filter(entry => entry.isFile()).map(entry => join(path, entry.name)).sort()
  }))
  return listed.flat()
}
