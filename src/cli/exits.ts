/** The exit codes of the command line. */

/** The exit codes by meaning; those from 64 follow sysexits.h. */
export const EXIT = {
  ok: 0,
  refused: 1,
  usage: 2,
  findings: 65,
  noInput: 66,
  unreachable: 69,
  tryAgain: 75
} as const

/** An exit code. */
export type ExitCode = typeof EXIT[keyof typeof EXIT]

/** The help text on the exit codes. */
export const EXIT_HELP = `
Exit codes:
  0   done
  1   refused, or in conflict with another version
  2   wrong usage of the command line
  65  the settings or the document are invalid
  66  a file cannot be read or written
  69  no host can be reached
  75  no leader, or no answer in time: try again with the same request id`

/** Ends the command with an exit code; the message is printed to standard error. */
export class CliError extends Error {
  override readonly name = 'CliError'
  readonly code: ExitCode

  private constructor (code: ExitCode, text: string) {
    super(text)
    this.code = code
  }

  /**
   * Creates the error.
   * @example throw CliError.create(EXIT.refused, 'Host "x" is unknown.')
   */
  static create (code: ExitCode, text: string): CliError {
    return new CliError(code, text)
  }
}
