/** Tests that the stand-in database is durable and fenced, as a real database is. */
import { appendFile, mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'chai'
import { StandInDatabase } from './database.js'
import { FileJournal } from './journal.js'

const MICROTASKS = 12
const OPTIONS = { name: 'a1', group: 'a', slots: 1, statementMs: 0 }

describe('the stand-in database', () => {
  let folder: string

  const openDatabase = async (): Promise<StandInDatabase> => StandInDatabase.create(OPTIONS, await FileJournal.create(folder))

  beforeEach(async () => { folder = await mkdtemp(join(tmpdir(), 'fulmartally-')) })

  afterEach(async () => await rm(folder, { recursive: true, force: true }))

  it('recovers its log, terms and role after a restart and truncates an incomplete last line', async () => {
    const database = await openDatabase()
    database.fence(3)
    database.promote(3)
    database.commit([{ type: 'create', table: 't', columns: ['id'] }])
    await database.awaitSync()
    await appendFile(join(folder, 'database.log'), '{"type":"entry","ent')
    const restarted = await openDatabase()
    const { primary, term, fencedTerm, log } = restarted
    expect({ primary, term, fencedTerm, position: log.position, tables: [...log.tables.keys()] })
      .to.deep.equal({ primary: true, term: 3, fencedTerm: 3, position: { term: 3, offset: 2 }, tables: ['t'] })
  })

  it('never runs more tasks than it has slots, also when one arrives as another hands its slot over', async () => {
    const database = await openDatabase()
    let running = 0
    let most = 0
    let end = (): void => undefined
    const ended = new Promise<void>(resolve => { end = resolve })
    const runTask = async (): Promise<void> => await database.useSlot(async () => {
      running += 1
      most = Math.max(most, running)
      await new Promise(resolve => setTimeout(resolve, 1))
      running -= 1
      end()
    })
    const waiting = [runTask(), runTask()]
    // Arrives some microtasks after the end of the first task; one of the depths falls between the end and the waiter's turn.
    const arrivals = Array.from({ length: MICROTASKS }, async (_, depth) => {
      await ended
      for (let turn = 0; turn < depth; turn++) await undefined
      await runTask()
    })
    await Promise.all([...waiting, ...arrivals])
    expect(most).to.equal(OPTIONS.slots)
  })

  it('sends replicas only entries that are synced to disk', async () => {
    const database = await openDatabase()
    database.fence(1)
    database.promote(1)
    expect(database.pull('a2', []).entries).to.have.length(0)
    await database.awaitSync()
    expect(database.pull('a2', []).entries).to.have.length(1)
  })

  it('rejects entries of a fenced term and is promoted only at its fenced term', async () => {
    const database = await openDatabase()
    database.follow(1, 'a2')
    database.fence(2)
    database.applyPullResult({ term: 1, common: 0, entries: [{ position: { term: 1, offset: 1 }, changes: [] }] })
    expect(database.log.position.offset).to.equal(0)
    expect(() => database.promote(3)).to.throw('not fenced at term 3')
    expect(() => database.follow(1, 'a2')).to.throw('term 1 is fenced')
    database.promote(2)
    expect(database.primary).to.equal(true)
  })
})
