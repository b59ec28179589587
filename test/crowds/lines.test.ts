/** Crowds at the front of the platform's line protocol. */
import { Crowd, type ClientBehaviour } from './support/crowd.js'
import { DATABASE, KEY, LineSite } from './support/linesite.js'
import { runCrowd, runCrowdAt } from './support/run.js'

const START = `START ${DATABASE} ${KEY}\r\n`
const LEGAL_BYTES = 900_000
const LEGAL_MESSAGE = Buffer.from(`QUERY m WRITE b ${'x'.repeat(LEGAL_BYTES)}\r\n`)
const PIECE_BYTES = 4_096
const MESSAGES = 40
const SESSIONS = 8
const OVERLONG_PARTS = 64
const OVERLONG_PART = Buffer.alloc(1_048_576, 'x')
const ANSWER_BYTES = 400_000
const READS_AHEAD = 500
const READERS = 120
const CONNECTIONS = 400
const HALF_SENT_SESSIONS = 300

const repeatMessage = (send: (connection: Parameters<ClientBehaviour['send']>[0]) => Promise<void>): ClientBehaviour['send'] => async connection => {
  await connection.write(START)
  for (let sent = 0; sent < MESSAGES; sent++) await send(connection)
}

// Ordinary callers are served beside the crowd and after it.
async function runAtFront (count: number, behaviour: ClientBehaviour, workMs?: number): Promise<void> {
  await runCrowd(async () => await LineSite.create(workMs), site => site.callers[0]!, count, behaviour)
}

describe('a crowd at the line front', () => {
  it('sends many messages of legal size at once through several line sessions', async () => {
    await runAtFront(SESSIONS, { reads: true, send: repeatMessage(async connection => await connection.write(LEGAL_MESSAGE)) })
  })

  it('sends many messages of legal size in small pieces through several line sessions', async () => {
    await runAtFront(SESSIONS, { reads: true, send: repeatMessage(async connection => await connection.writePieces(LEGAL_MESSAGE, PIECE_BYTES)) })
  })

  it('sends messages of legal size through many line sessions while the databases are slow', async () => {
    await runAtFront(READERS, { reads: true, send: repeatMessage(async connection => await connection.write(LEGAL_MESSAGE)) }, 200)
  })

  it('sends lines far over the limit and never ends its connections', async () => {
    const send: ClientBehaviour['send'] = async connection => {
      await connection.write(START)
      for (let sent = 0; sent < OVERLONG_PARTS; sent++) await connection.write(OVERLONG_PART)
    }
    await runAtFront(SESSIONS, { reads: true, send })
  })

  it('sends lines ahead without reading the answers', async () => {
    const send: ClientBehaviour['send'] = async connection => await connection.write(START + 'QUERY r READ large\r\n'.repeat(READS_AHEAD))
    await using site = await LineSite.create()
    const writer = await Crowd.create(site.callers[0]!, 1, { reads: true, send: async connection => await connection.write(`${START}QUERY w WRITE large ${'y'.repeat(ANSWER_BYTES)}\r\n`) })
    await site.askOrdinary()
    await writer[Symbol.asyncDispose]()
    await runCrowdAt(site, site.callers[0]!, READERS, { reads: false, send })
  })

  it('fills many line sessions with values of legal size', async () => {
    const send: ClientBehaviour['send'] = async connection => await connection.write(`${START}QUERY s SET v ${'x'.repeat(LEGAL_BYTES)}\r\n`)
    await runAtFront(READERS, { reads: true, send })
  })

  it('opens line connections without a first message', async () => {
    await runAtFront(CONNECTIONS, { reads: true, returns: true, send: async connection => await connection.write('') })
  })

  it('opens line connections and stops half-way in the first message', async () => {
    await runAtFront(CONNECTIONS, { reads: true, returns: true, send: async connection => await connection.write('START ord') })
  })

  it('stops half-way in messages of legal size', async () => {
    const send: ClientBehaviour['send'] = async connection => {
      await connection.write(START)
      await connection.write(LEGAL_MESSAGE.subarray(0, LEGAL_BYTES / 2))
    }
    await runAtFront(HALF_SENT_SESSIONS, { reads: true, returns: true, send })
  })
})
