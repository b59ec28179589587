import { mkdtemp, readdir, readFile, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'chai'
import { FileJournal } from './files.js'
import type { JournalContents, JournalEffect } from './messages.js'

const fail = (error: unknown): never => { throw error }

describe('the file journal', () => {
  let folder: string

  beforeEach(async () => { folder = await mkdtemp(join(tmpdir(), 'fulmartally-journal-')) })
  afterEach(async () => await rm(folder, { recursive: true }))

  const store = async (...effects: readonly JournalEffect[]): Promise<readonly number[]> => {
    const synced: number[] = []
    const journal = await FileJournal.create(folder, message => synced.push((message as unknown as { readonly write: number }).write), fail)
    for (const effect of effects) journal.execute(effect)
    await journal[Symbol.asyncDispose]()
    return synced
  }
  const recover = async (): Promise<JournalContents> => {
    await using journal = await FileJournal.create(folder, () => {}, fail)
    return journal.contents
  }
  const append = (write: number, ...records: readonly string[]): JournalEffect => ({ kind: 'journal/append', write, records })
  const readRecords = async (): Promise<Buffer> => await readFile(join(folder, 'records-000000000001'))

  it('recovers all records under one incarnation, and syncs the writes that gathered during a sync together', async () => {
    expect(await store(append(1, 'a'), append(2, 'b'), append(3, 'c'))).to.deep.equal([1, 3])
    const first = await recover()
    expect(first.records).to.deep.equal(['a', 'b', 'c'])
    expect((await recover()).incarnation).to.equal(first.incarnation)
  })

  it('replaces all earlier records by a snapshot', async () => {
    await store(append(1, 'a'), { kind: 'journal/snapshot', write: 2, snapshot: { sum: 1 }, records: ['b'] }, append(3, 'c'))
    const { snapshot, records } = await recover()
    expect({ snapshot, records }).to.deep.equal({ snapshot: { sum: 1 }, records: ['b', 'c'] })
    expect((await readdir(folder)).filter(name => name.startsWith('records'))).to.deep.equal(['records-000000000002'])
  })

  it('truncates an unfinished write of any length, and appends after it', async () => {
    await store(append(1, 'a'))
    const whole = await readRecords()
    await store(append(2, 'later'))
    const longer = await readRecords()
    for (let length = whole.length; length < longer.length; length++) {
      await writeFile(join(folder, 'records-000000000001'), longer.subarray(0, length))
      const { records, truncatedBytes, damage } = await recover()
      expect({ records, truncatedBytes, damage }).to.deep.equal({ records: ['a'], truncatedBytes: length - whole.length, damage: undefined })
    }
    await store(append(3, 'b'))
    expect((await recover()).records).to.deep.equal(['a', 'b'])
  })

  it('starts as a new, empty incarnation when any stored byte is damaged', async () => {
    await store(append(1, 'a'), append(2, 'b'))
    const { incarnation } = await recover()
    const file = join(folder, 'records-000000000001')
    const whole = await readRecords()
    const kept = new Map(await Promise.all((await readdir(folder)).map(async name => [name, await readFile(join(folder, name))] as const)))
    for (let offset = 0; offset < whole.length; offset++) {
      await rm(folder, { recursive: true })
      await store()
      for (const [name, bytes] of kept) await writeFile(join(folder, name), bytes)
      const damaged = Buffer.from(whole)
      damaged[offset]! ^= 0x01
      await writeFile(file, damaged)
      const contents = await recover()
      expect(contents.damage, `byte ${offset}`).to.be.a('string')
      expect(contents.incarnation).to.not.equal(incarnation)
      expect(contents.records).to.deep.equal([])
    }
  })

  it('starts as a new incarnation when its records are missing', async () => {
    await store(append(1, 'a'))
    const { incarnation } = await recover()
    await rm(join(folder, 'records-000000000001'))
    const contents = await recover()
    expect(contents.damage).to.equal('the records are missing; ' + contents.damage!.split('; ')[1])
    expect(contents.incarnation).to.not.equal(incarnation)
  })
})
