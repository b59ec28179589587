/** Callers that write in transactions, and what they were answered. */
import { Caller } from './outside.js'
import { drawId, KEY, ROUTE, sleep } from './scene.js'

const ANSWER_LIMIT_MS = 3_000
const RETRY_MS = 200

/** Runs sessions that each repeat a transaction of two writes, with pauses between its statements. */
export class Writers {
  /** The second write of each transaction whose COMMIT was answered with success. */
  acknowledged = []
  /** When each transaction began, and whether it was served. */
  outcomes = []
  #isWriting = true
  #running

  constructor ({ addresses, pauseMs, record }) {
    this.pauseMs = pauseMs
    this.record = record
    this.#running = addresses.map((address, index) => this.#runSession(address, `writer-${index + 1}`))
  }

  async stop () {
    this.#isWriting = false
    await Promise.all(this.#running)
  }

  async #runSession (address, name) {
    let caller
    for (let count = 1; this.#isWriting; count++) {
      if (caller === undefined || caller.closed) caller = await this.#openSession(address, name)
      if (caller !== undefined) await this.#runTransaction(caller, name, `${name}-${count}`)
    }
    caller?.close()
  }

  async #openSession (address, name) {
    const [caller, answer] = await Caller.open(address, ROUTE, KEY)
    if (answer.error === undefined) return caller
    this.record(name, 'START', answer.error)
    await sleep(RETRY_MS)
    return undefined
  }

  async #runTransaction (caller, name, data) {
    const sentAtMs = Date.now()
    for (const text of ['BEGIN', `WRITE ${name} ${data}-1`, `WRITE ${name} ${data}-2`, 'COMMIT']) {
      const id = drawId()
      this.record(name, 'sends', id, text)
      const answer = await Promise.race([caller.query(id, text), sleep(ANSWER_LIMIT_MS).then(() => ({ error: 'NO-ANSWER' }))])
      this.record(name, 'gets', id, answer.error ?? answer.lines.at(-1))
      if (answer.error !== undefined || text === 'COMMIT') this.outcomes.push({ sentAtMs, served: answer.error === undefined })
      if (answer.error !== undefined) return caller.close()
      if (text === 'COMMIT') this.acknowledged.push({ item: name, data: `${data}-2` })
      else await sleep(this.pauseMs)
    }
  }
}
