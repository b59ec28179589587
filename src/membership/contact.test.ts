import { expect } from 'chai'
import type { CoreEffect, Moment, RecordEvent } from '../core/message.js'
import { NO_CONTACT, recordConfirmation, recordTick, type ControlContact } from './contact.js'

const INTERVAL_MS = 100
const createMoment = (monotonicMs: number): Moment => ({ monotonicMs, wallMs: 0, random: 0 })
const readTexts = (effects: readonly CoreEffect[]): readonly string[] => effects.map(effect => (effect as RecordEvent).text)

/** Ticks at the given times after a confirmation at 0; returns the last contact and all events. */
function runTicks (times: readonly number[]): { readonly contact: ControlContact, readonly texts: readonly string[] } {
  const start = recordConfirmation(recordTick(NO_CONTACT, INTERVAL_MS, createMoment(0)).contact, 0, createMoment(1)).contact
  return times.reduce<{ readonly contact: ControlContact, readonly texts: readonly string[] }>((before, atMs) => {
    const step = recordTick(before.contact, INTERVAL_MS, createMoment(atMs))
    return { contact: step.contact, texts: [...before.texts, ...readTexts(step.effects)] }
  }, { contact: start, texts: [] })
}

describe('contact with the control hosts', () => {
  it('reports once that the leader is silent, and that this host was on time', () => {
    const times = Array.from({ length: 15 }, (_, index) => (index + 1) * INTERVAL_MS)
    expect(runTicks(times).texts).to.deep.equal(['The leader has confirmed nothing for 1000 ms; the loop of this host was 0 ms late.'])
  })

  it('tells a host that is short of processor time from a silent leader', () => {
    expect(runTicks([100, 900, 1_000]).texts).to.deep.equal(['The leader has confirmed nothing for 1000 ms; the loop of this host was 700 ms late.'])
  })

  it('reports for how long the leader was silent, and how long its answer took', () => {
    const { contact } = runTicks([100, 1_100])
    const step = recordConfirmation(contact, 1_050, createMoment(1_400))
    expect(readTexts(step.effects)).to.deep.equal(['The leader confirms this host again after 1400 ms, by an answer that took 350 ms; the loop was 900 ms late.'])
    expect(recordConfirmation(step.contact, 1_200, createMoment(1_500)).effects).to.deep.equal([])
  })
})
