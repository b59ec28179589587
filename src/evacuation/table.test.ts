import { expect } from 'chai'
import { CatalogMachine } from '../agreement/catalog.js'
import { applyOrder, listEvacuated, MAX_ANSWERED_ORDERS, NO_EVACUATIONS, type EvacuationTable, type OrderCommand, type OrderOutcome } from './table.js'

const createOrder = (requestId: string, evacuated: boolean, after = 0, domain = 'east'): OrderCommand => ({ kind: 'evacuation/order', requestId, domain, evacuated, after })

function applyAll (...orders: readonly OrderCommand[]): { readonly table: EvacuationTable, readonly outcomes: readonly OrderOutcome[] } {
  const outcomes: OrderOutcome[] = []
  const table = orders.reduce((before, order) => {
    const { state, outcome } = applyOrder(before, order)
    outcomes.push(outcome)
    return state
  }, NO_EVACUATIONS)
  return { table, outcomes }
}

describe('the table of orders on failure domains', () => {
  it('begins and ends an evacuation, and counts both orders', () => {
    const begun = applyAll(createOrder('r1', true))
    expect([listEvacuated(begun.table), begun.table.version]).to.deep.equal([['east'], 1])
    const ended = applyAll(createOrder('r1', true), createOrder('r2', false, 1))
    expect([listEvacuated(ended.table), ended.table.version]).to.deep.equal([[], 2])
    expect(ended.outcomes[1]).to.deep.equal({ accepted: true, domain: 'east', evacuated: false, version: 2 })
  })

  it('acknowledges a doubled order without a change, whichever order its host knew', () => {
    const { table, outcomes } = applyAll(createOrder('r1', true), createOrder('r2', true, 0), createOrder('r3', true, 1))
    expect(table.version).to.equal(1)
    expect(outcomes.every(({ accepted }) => accepted)).to.equal(true)
  })

  it('answers a repeated request with its first outcome, also after the order was withdrawn', () => {
    const { table, outcomes } = applyAll(createOrder('r1', true), createOrder('r2', false, 1), createOrder('r1', true))
    expect(listEvacuated(table)).to.deep.equal([])
    expect(outcomes[2]).to.deep.equal(outcomes[0])
  })

  it('does not let a copy that was under way undo a later order', () => {
    const { table, outcomes } = applyAll(createOrder('r1', true), createOrder('r2', false, 1), createOrder('copy', true, 0))
    expect(listEvacuated(table)).to.deep.equal([])
    expect(outcomes[2]).to.include({ accepted: false, error: 'conflict' })
    expect(listEvacuated(applyOrder(table, createOrder('r4', true, 2)).state)).to.deep.equal(['east'])
  })

  it('acknowledges the end of an evacuation that never began, and remembers nothing of it', () => {
    const { table, outcomes } = applyAll(createOrder('r1', false, 0, 'nowhere'))
    expect(outcomes[0]).to.include({ accepted: true, evacuated: false })
    expect([table.version, table.domains]).to.deep.equal([0, {}])
  })

  it('keeps a bounded number of requests', () => {
    const orders = Array.from({ length: MAX_ANSWERED_ORDERS + 10 }, (_, index) => createOrder(`r${index}`, index % 2 === 0, index))
    expect(applyAll(...orders).table.requests.length).to.equal(MAX_ANSWERED_ORDERS)
  })

  it('is empty in a catalog that was stored before orders existed', () => {
    const machine = CatalogMachine.create()
    const stored = JSON.parse(JSON.stringify(machine.initial)) as typeof machine.initial
    expect(stored.evacuations).to.equal(undefined)
    const { state, outcome } = machine.apply(stored, createOrder('r1', true))
    expect(listEvacuated(state.evacuations!)).to.deep.equal(['east'])
    expect(outcome).to.include({ accepted: true })
  })
})
