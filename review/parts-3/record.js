/** The record of a case: one line of JSON for each thing that was sent, answered, run or done, with its time in milliseconds. */
import { writeFileSync } from 'node:fs'

/** Collects the lines of a record. */
export class Record {
  #startedAtMs = performance.now()
  #lines = []

  static create () {
    return new Record()
  }

  /** Milliseconds since the record began. */
  readMs () {
    return Math.round(performance.now() - this.#startedAtMs)
  }

  add (what, fields = {}) {
    this.#lines.push(JSON.stringify({ ms: this.readMs(), what, ...fields }))
  }

  /** Counts the lines of a kind. */
  count (what) {
    return this.#lines.filter(line => line.includes(`"what":"${what}"`)).length
  }

  /** Writes the record to a file. */
  write (file) {
    writeFileSync(file, this.#lines.map(line => line + '\n').join(''))
  }
}

export async function sleep (ms) {
  await new Promise(resolve => setTimeout(resolve, ms))
}

/** Waits until a condition holds; false if it does not within the time. */
export async function waitFor (condition, limitMs, everyMs = 50) {
  const endsAtMs = performance.now() + limitMs
  while (performance.now() < endsAtMs) {
    if (await condition()) return true
    await sleep(everyMs)
  }
  return false
}
