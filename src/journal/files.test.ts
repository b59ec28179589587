import { mkdtemp, readdir, readFile, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'chai'
import { FileJournal } from './files.js'
import type { JournalContents, JournalEffect } from './messages.js'

const fail = (fault: unknown): never => { throw fault }

describe('the journal over files', () => {
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

  it('gives back what was stored, under one identity, with one sync for what gathered', async () => {
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

  it('cuts an unfinished write at every length, and goes on after it', async () => {
    await store(append(1, 'a'))
    const whole = await readRecords()
    await store(append(2, 'later'))
    const longer = await readRecords()
    for (let length = whole.length; length < longer.length; length++) {
      await writeFile(join(folder, 'records-000000000001'), longer.subarray(0, length))
      const { records, cutBytes, damage } = await recover()
      expect({ records, cutBytes, damage }).to.deep.equal({ records: ['a'], cutBytes: length - whole.length, damage: undefined })
    }
    await store(append(3, 'b'))
    expect((await recover()).records).to.deep.equal(['a', 'b'])
  })

  it('becomes a new, empty incarnation when any stored byte is damaged', async () => {
    await store(append(1, 'a'), append(2, 'b'))
    const { incarnation } = await recover()
    const file = join(folder, 'records-000000000001')
    const whole = await readRecords()
    const kept = new Map(await Promise.all((await readdir(folder)).map(async name => [name, await readFile(join(folder, name))] as const)))
    for (let place = 0; place < whole.length; place++) {
      await rm(folder, { recursive: true })
      await store()
      for (const [name, bytes] of kept) await writeFile(join(folder, name), bytes)
      const damaged = Buffer.from(whole)
      damaged[place]! ^= 0x01
      await writeFile(file, damaged)
      const contents = await recover()
      expect(contents.damage, `byte ${place}`).to.be.a('string')
      expect(contents.incarnation).to.not.equal(incarnation)
      expect(contents.records).to.deep.equal([])
    }
  })

  it('becomes a new incarnation when its records are gone', async () => {
    await store(append(1, 'a'))
    const { incarnation } = await recover()
    await rm(join(folder, 'records-000000000001'))
    const contents = await recover()
    expect(contents.damage).to.equal('the records are missing; ' + contents.damage!.split('; ')[1])
    expect(contents.incarnation).to.not.equal(incarnation)
  })
})
