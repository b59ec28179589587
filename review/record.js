/** The record of a run, and the end of the script. */
import { writeFileSync } from 'node:fs'

/** Exit codes of a script. */
export const HELD = 0
export const BROKEN = 1
export const NOT_RUN = 2

/** Collects lines and writes them into the record of a case. */
export class Record {
  static create (path) {
    const record = new Record()
    record.path = path
    record.startedAtMs = performance.now()
    record.lines = []
    return record
  }

  /** Adds a line about what somebody sent, answered or ran. */
  write (who, text) {
    this.lines.push(`${((performance.now() - this.startedAtMs) / 1_000).toFixed(3).padStart(8)} ${who}: ${text}`)
  }

  store () {
    writeFileSync(this.path, this.lines.join('\n') + '\n')
  }
}

/** Runs a case, cleans up and exits: with 0 if the rule held, 1 if it was broken, and 2 if the case could not run. */
export async function runCase ({ trouble, recordPath }, run, cleanUps) {
  const record = Record.create(recordPath)
  record.write('script', trouble ? 'with the disruption' : 'without the disruption')
  let code = NOT_RUN
  try {
    const broken = await run(record, trouble)
    code = broken ? BROKEN : HELD
  } catch (error) {
    record.write('script', `could not run: ${error.stack}`)
  }
  for (const cleanUp of cleanUps.reverse()) await Promise.resolve(cleanUp()).catch(() => undefined)
  record.write('script', ['the rule held', 'the rule was broken', 'the case could not run'][code])
  record.store()
  process.stdout.write(record.lines.slice(-12).join('\n') + '\n')
  process.exit(code)
}
