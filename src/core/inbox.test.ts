import { expect } from 'chai'
import { Inbox } from './inbox.js'

describe('an inbox', () => {
  const create = (): Inbox => Inbox.create([new Set(['log']), new Set(['heartbeat'])])

  function takeAll (inbox: Inbox): readonly string[] {
    const kinds: string[] = []
    for (let message = inbox.take(); message !== undefined; message = inbox.take()) kinds.push(message.kind)
    return kinds
  }

  it('orders messages by the priority of their slices, and each by their arrival', () => {
    const inbox = create()
    for (const kind of ['a/1', 'heartbeat/1', 'log/1', 'a/2', 'log/2', 'heartbeat/2']) inbox.post({ kind })
    expect(takeAll(inbox)).to.deep.equal(['log/1', 'log/2', 'heartbeat/1', 'heartbeat/2', 'a/1', 'a/2'])
  })

  it('delivers the news of a renewed lease before the backlog that would outlast the lease', () => {
    const inbox = create()
    inbox.post({ kind: 'log/tick' })
    for (const kind of ['a/1', 'a/2']) inbox.post({ kind })
    expect(inbox.take()!.kind).to.equal('log/tick')
    inbox.tell({ kind: 'membership/lease-extended' })
    expect(inbox.take()!.kind).to.equal('membership/lease-extended')
    inbox.tell({ kind: 'shares/lease-extended' })
    expect(takeAll(inbox)).to.deep.equal(['shares/lease-extended', 'a/1', 'a/2'])
  })

  it('delivers what a slice tells with its priority, or with the higher one of the slice that is told', () => {
    const inbox = create()
    for (const kind of ['heartbeat/1', 'a/1']) inbox.post({ kind })
    inbox.take()
    inbox.tell({ kind: 'b/told' })
    inbox.tell({ kind: 'log/propose' })
    expect(takeAll(inbox)).to.deep.equal(['log/propose', 'b/told', 'a/1'])
  })

  it('delivers what is told to an urgent slice before a backlog, and what others tell each other after it', () => {
    const inbox = create()
    for (const kind of ['a/1', 'a/2']) inbox.post({ kind })
    expect(inbox.take()!.kind).to.equal('a/1')
    inbox.tell({ kind: 'b/told' })
    inbox.tell({ kind: 'log/propose' })
    expect(takeAll(inbox)).to.deep.equal(['log/propose', 'a/2', 'b/told'])
  })

  it('keeps the order of a long backlog', () => {
    const inbox = create()
    const kinds = Array.from({ length: 5_000 }, (_, index) => `a/${index}`)
    for (const kind of kinds) inbox.post({ kind })
    expect(inbox.size).to.equal(kinds.length)
    expect(takeAll(inbox)).to.deep.equal(kinds)
    expect(inbox.size).to.equal(0)
  })
})
