/** Where the command line reads and writes: an abstract class, so that tests need no processes. */
import { readFile, writeFile } from 'node:fs/promises'
import { sendCommand, type CommandInput } from '../operations/client.js'
import { CliError, EXIT } from './exits.js'

/** Files, output and hosts, as the commands see them. */
export abstract class Terminal {
  /** Prints a text and a line feed. */
  abstract write (text: string): void

  /** Prints a text and a line feed to standard error. */
  abstract writeError (text: string): void

  /** Reads a file. */
  abstract readFile (file: string): Promise<string>

  /** Writes a file. */
  abstract writeFile (file: string, text: string): Promise<void>

  /** Sends a command to a host. Throws when the host can't be reached. */
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

  async writeFile (file: string, text: string): Promise<void> {
    await writeFile(file, text).catch((error: Error) => { throw CliError.create(EXIT.noInput, error.message) })
  }

  async send (host: string, command: CommandInput, requestId: string): Promise<unknown> {
    return await sendCommand(host, command, requestId)
  }
}
