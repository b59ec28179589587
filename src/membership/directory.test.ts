/** Guards against a host that keeps what its leader has removed, and goes on sending requests there. */
import { expect } from 'chai'
import { applyChanges, createDirectory, listChangesSince, listEntries, putEntry, removeEntry, type DatabaseEntry } from './directory.js'

const FORMER_REVISION = { epoch: 1, count: 25 }
const createEntry = (database: string): DatabaseEntry => ({ kind: 'database', database, group: 'g', failureDomain: 'east', address: '10.0.0.1:1', slots: 3, connectionLimit: 9, departing: false })

describe('a copy of the directory', () => {
  const before = putEntry(putEntry(createDirectory(2), createEntry('a1')), createEntry('a2'))
  const after = removeEntry(before, 'database/a1')
  const copyBefore = applyChanges(createDirectory(1), before.revision, listChangesSince(before, FORMER_REVISION))

  it('loses what was removed between two answers to a heartbeat that named the epoch before', () => {
    const copy = applyChanges(copyBefore, after.revision, listChangesSince(after, FORMER_REVISION))
    expect(listEntries(copy, 'database').map(({ database }) => database)).to.deep.equal(['a2'])
  })

  it('loses what was removed before the relay that it asks got its own copy', () => {
    const relayed = applyChanges(createDirectory(1), after.revision, listChangesSince(after, FORMER_REVISION))
    const copy = applyChanges(copyBefore, relayed.revision, listChangesSince(relayed, copyBefore.revision))
    expect(listEntries(copy, 'database').map(({ database }) => database)).to.deep.equal(['a2'])
  })
})
