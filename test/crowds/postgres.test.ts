/** Crowds at the PostgreSQL front end. */
import { serialize } from 'pg-protocol'
import type { ClientBehaviour } from './support/crowd.js'
import { runCrowd } from './support/run.js'
import { KEY, PostgresSite, SERVICE, WORKSPACE } from './support/postgressite.js'

const START = Buffer.concat([serialize.startup({ user: WORKSPACE, database: SERVICE }), serialize.password(KEY.key)])
const LEGAL_BYTES = 900_000
const LEGAL_MESSAGE = serialize.query(`INSERT INTO swaps (id, name) VALUES ('1', '${'x'.repeat(LEGAL_BYTES)}')`)
/** A part of a batch that has no end yet. */
const PART_OF_BATCH = serialize.parse({ name: '', text: `SELECT '${'x'.repeat(1_000)}'`, types: [] })
const PIECE_BYTES = 4_096
const MESSAGES = 40
const SESSIONS = 8
const OVERLONG_HEADER = Buffer.from([0x51, 0x7f, 0xff, 0xff, 0xff])
const OVERLONG_PARTS = 64
const OVERLONG_PART = Buffer.alloc(1_048_576, 'x')
const READS_AHEAD = 2_000
const READERS = 120
const CONNECTIONS = 400
const HALF_SENT_SESSIONS = 300

// Ordinary callers are served beside the crowd and after it.
async function runAtFront (count: number, behaviour: ClientBehaviour): Promise<void> {
  await runCrowd(PostgresSite.create, site => site.callers, count, behaviour)
}

describe('a crowd at the PostgreSQL front end', () => {
  it('sends many messages of legal size at once through several PostgreSQL sessions', async () => {
    const send: ClientBehaviour['send'] = async connection => {
      await connection.write(START)
      for (let sent = 0; sent < MESSAGES; sent++) await connection.write(LEGAL_MESSAGE)
    }
    await runAtFront(SESSIONS, { reads: true, send })
  })

  it('sends many messages of legal size in small pieces through several PostgreSQL sessions', async () => {
    const send: ClientBehaviour['send'] = async connection => {
      await connection.write(START)
      for (let sent = 0; sent < MESSAGES; sent++) await connection.writePieces(LEGAL_MESSAGE, PIECE_BYTES)
    }
    await runAtFront(SESSIONS, { reads: true, send })
  })

  it('sends PostgreSQL messages far over the limit and never ends its connections', async () => {
    const send: ClientBehaviour['send'] = async connection => {
      await connection.write(Buffer.concat([START, OVERLONG_HEADER]))
      for (let sent = 0; sent < OVERLONG_PARTS; sent++) await connection.write(OVERLONG_PART)
    }
    await runAtFront(SESSIONS, { reads: true, send })
  })

  it('sends PostgreSQL messages ahead without reading the answers', async () => {
    const query = serialize.query("SELECT name FROM swaps WHERE id = '1'")
    await runAtFront(READERS, { reads: false, send: async connection => await connection.write(Buffer.concat([START, ...Array.from({ length: READS_AHEAD }, () => query)])) })
  })

  it('sends batches of PostgreSQL messages that have no end', async () => {
    const send: ClientBehaviour['send'] = async connection => {
      await connection.write(START)
      for (let sent = 0; sent < READS_AHEAD; sent++) await connection.write(PART_OF_BATCH)
    }
    await runAtFront(READERS, { reads: true, send })
  })

  it('fills many PostgreSQL sessions with prepared statements of legal size', async () => {
    const parse = serialize.parse({ name: 's', text: `SELECT '${'x'.repeat(LEGAL_BYTES)}'`, types: [] })
    await runAtFront(READERS, { reads: true, send: async connection => await connection.write(Buffer.concat([START, parse, serialize.sync()])) })
  })

  it('opens PostgreSQL connections without a first message', async () => {
    await runAtFront(CONNECTIONS, { reads: true, returns: true, send: async connection => await connection.write('') })
  })

  it('stops half-way in the PostgreSQL startup', async () => {
    await runAtFront(CONNECTIONS, { reads: true, returns: true, send: async connection => await connection.write(START.subarray(0, 10)) })
  })

  it('stops half-way in PostgreSQL messages of legal size', async () => {
    const send: ClientBehaviour['send'] = async connection => await connection.write(Buffer.concat([START, LEGAL_MESSAGE.subarray(0, LEGAL_BYTES / 2)]))
    await runAtFront(HALF_SENT_SESSIONS, { reads: true, returns: true, send })
  })
})
