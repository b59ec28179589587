/** The largest messages in calm, with the memory and descriptors that crowds meet. */
import { connect } from 'node:net'
import { expect } from 'chai'
import pg from 'pg'
import { Requester } from '../support/wire.js'
import { DATABASE, KEY, LineSite } from './support/linesite.js'
import * as postgres from './support/postgressite.js'

const MESSAGE_BYTES = 1_048_576
const IDLE_MS = 3_000

describe('a single caller in calm', () => {
  it('is served the largest line at each entry host', async () => {
    await using site = await LineSite.create()
    for (const address of site.callers) {
      const [session] = await Requester.create(address, DATABASE, KEY)
      const head = 'QUERY q WRITE b '
      expect((await session.query('q', `WRITE b ${'x'.repeat(MESSAGE_BYTES - head.length)}`)).error).to.equal(undefined)
      expect((await session.query('r', 'READ b')).error).to.equal(undefined)
      session.close()
    }
    await site.checkSound()
  })

  it('is served the largest PostgreSQL message', async () => {
    await using site = await postgres.PostgresSite.create()
    const [ip, port] = site.callers.split(':')
    const client = new pg.Client({ host: ip, port: Number(port), database: postgres.SERVICE, user: postgres.WORKSPACE, password: postgres.KEY.key })
    await client.connect()
    const insert = "INSERT INTO swaps (id, name) VALUES ('1', '')"
    const headBytes = 6
    await client.query(insert.replace("''", `'${'x'.repeat(MESSAGE_BYTES - headBytes - insert.length)}'`))
    await client.end()
    await site.checkSound()
  })

  it('keeps an idle session beside connections that do not start', async () => {
    await using site = await LineSite.create()
    const [session] = await Requester.create(site.callers[0]!, DATABASE, KEY)
    const [host, port] = site.callers[0]!.split(':')
    const silent = Array.from({ length: 200 }, () => connect({ host: host!, port: Number(port) }).on('error', () => undefined))
    await new Promise(resolve => setTimeout(resolve, IDLE_MS))
    expect((await session.query('q', 'READ a')).error).to.equal(undefined)
    for (const socket of silent) socket.destroy()
    session.close()
  })
})
