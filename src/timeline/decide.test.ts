import { expect } from 'chai'
import type { SendPeer } from '../core/message.js'
import { StoreSlice } from '../core/store.js'
import { createTimelineShared, decideTimeline } from './decide.js'
import type { MergedTimeline, TimelineEvent, TimelineMessage } from './messages.js'
import { renderTimeline } from './page.js'
import { RingBuffer } from './ringbuffer.js'

const MOMENT = { monotonicMs: 0, wallMs: 0, random: 0 }
const createEvent = (host: string, wallMs: number, count = 0): TimelineEvent => ({ stamp: { wallMs, count }, host, part: 'primacy', event: 'promoted', text: `<b>${host}</b> & more` })

describe('the timeline', () => {
  it('merges the events of all hosts in the order of stamps, and lists hosts that did not answer in time', () => {
    const slice = StoreSlice.create({ name: 'timeline', shared: createTimelineShared('h1'), decide: decideTimeline })
    const decide = (message: TimelineMessage) => slice.handle(message, MOMENT)
    decide({ kind: 'timeline/hosts-known', hosts: ['h1', 'h2', 'h3'] })
    const asked = decide({ kind: 'timeline/read', operation: '1', query: { sinceMs: 1_000 } }).filter(effect => effect.kind === 'peer/send') as SendPeer[]
    expect(asked.map(effect => effect.to)).to.deep.equal(['h1', 'h2', 'h3'])
    decide({ kind: 'timeline/events-told', from: 'h2', operation: '1', events: [createEvent('h2', 5, 1), createEvent('h2', 9)] })
    decide({ kind: 'timeline/events-told', from: 'h2', operation: '1', events: [createEvent('h2', 1)] })
    decide({ kind: 'timeline/events-told', from: 'h1', operation: '1', events: [createEvent('h1', 5, 0), createEvent('h1', 7)] })
    const answered = decide({ kind: 'timeline/read-over', operation: '1' }).find(effect => effect.kind === 'loop/tell') as { readonly message?: { readonly outcome: MergedTimeline } } | undefined
    const merged = answered!.message!.outcome
    expect(merged.events.map(event => [event.host, event.stamp.wallMs])).to.deep.equal([['h1', 5], ['h2', 5], ['h1', 7], ['h2', 9]])
    expect(merged).to.deep.include({ hosts: ['h1', 'h2'], silent: ['h3'] })
    expect(decide({ kind: 'timeline/events-told', from: 'h3', operation: '1', events: [] })).to.deep.equal([])
  })

  it('renders a self-contained page with a lane for each process and all text escaped', () => {
    const page = renderTimeline({ events: [createEvent('h1', 5)], hosts: ['h1'], silent: ['h2'] })
    expect(page).to.include('&lt;b&gt;h1&lt;/b&gt; &amp; more').and.include('did not answer')
    expect(page).to.not.match(/<b>|src=|href=|<script/)
  })

  it('keeps only the most recent events', () => {
    const buffer = RingBuffer.create<number>(3)
    for (const item of [1, 2, 3, 4, 5]) buffer.add(item)
    expect(buffer.list()).to.deep.equal([3, 4, 5])
  })
})
