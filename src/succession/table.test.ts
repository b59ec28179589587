import { expect } from 'chai'
import { applySuccessionCommand, type AppointmentTable, type SuccessionCommand } from './table.js'

describe('the table of appointments', () => {
  it('ignores the end of an appointment that it lacks, also where a log holds one without a number', () => {
    for (const group of ['g', 'constructor', '__proto__', 'toString']) {
      const settle = { kind: 'succession/settle', group, outcome: 'failed' } as unknown as SuccessionCommand
      expect(applySuccessionCommand({}, settle)).to.deep.equal({})
    }
  })

  it('keeps a group apart that is named like a member of every object', () => {
    const appoint: SuccessionCommand = { kind: 'succession/appoint', group: 'constructor', appointment: 1, database: 'c1' }
    const table = applySuccessionCommand({}, appoint)
    expect(Object.entries(table)).to.deep.equal([['constructor', { appointment: 1, database: 'c1' }]])
    const restored = JSON.parse(JSON.stringify(table)) as AppointmentTable
    expect(applySuccessionCommand(restored, { kind: 'succession/settle', group: 'constructor', appointment: 1, outcome: 'done' })).to.deep.equal({ constructor: { appointment: 1, database: 'c1', outcome: 'done' } })
  })
})
