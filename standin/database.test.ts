/** The stand-in database keeps what it answered, and refuses what a real one would. */
import { appendFile, mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'chai'
import { StandInDatabase } from './database.js'
import { FileJournal } from './journal.js'

const PARTS = { name: 'a1', group: 'a', slots: 1, statementMs: 0 }

describe('the stand-in database', () => {
  let folder: string

  const openDatabase = async (): Promise<StandInDatabase> => StandInDatabase.create(PARTS, await FileJournal.create(folder))

  beforeEach(async () => { folder = await mkdtemp(join(tmpdir(), 'fulmartally-')) })

  afterEach(async () => await rm(folder, { recursive: true, force: true }))

  it('keeps its log, terms and role over a restart, and drops a torn last line', async () => {
    const first = await openDatabase()
    first.fence(3)
    first.promote(3)
    first.commit([{ type: 'create', table: 't', columns: ['id'] }])
    await first.awaitSynced()
    await appendFile(join(folder, 'database.log'), '{"type":"entry","ent')
    const second = await openDatabase()
    const { primary, term, fencedTerm, log } = second
    expect({ primary, term, fencedTerm, position: log.position, tables: [...log.tables.keys()] })
      .to.deep.equal({ primary: true, term: 3, fencedTerm: 3, position: { term: 3, offset: 2 }, tables: ['t'] })
  })

  it('gives replicas nothing that it could lose in a crash', async () => {
    const database = await openDatabase()
    database.fence(1)
    database.promote(1)
    expect(database.pull('a2', []).entries).to.have.length(0)
    await database.awaitSynced()
    expect(database.pull('a2', []).entries).to.have.length(1)
  })

  it('takes no entry of a term below its fence, and is promoted at its fence alone', async () => {
    const database = await openDatabase()
    database.follow(1, 'a2')
    database.fence(2)
    database.takePulled({ term: 1, common: 0, entries: [{ position: { term: 1, offset: 1 }, changes: [] }] })
    expect(database.log.position.offset).to.equal(0)
    expect(() => database.promote(3)).to.throw('not fenced at term 3')
    expect(() => database.follow(1, 'a2')).to.throw('term 1 is fenced')
    database.promote(2)
    expect(database.primary).to.equal(true)
  })
})
