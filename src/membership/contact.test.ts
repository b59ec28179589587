import { expect } from 'chai'
import type { CoreEffect, Moment, RecordEvent, SendPeer, Tell } from '../core/message.js'
import { NO_CONTACT, recordConfirmation, recordTick, recordVersions, type ControlContact, type ContactStep } from './contact.js'
import type { VersionsTold } from './messages.js'

const INTERVAL_MS = 100
const CONTROL = ['c1', 'c2', 'c3']
const MEMBERS = { c1: 'i1', c2: 'i2', c3: 'i3' }
const createMoment = (monotonicMs: number): Moment => ({ monotonicMs, wallMs: 0, random: 0 })

/** A host that was confirmed at 0, and all that its contact told since. */
class TestHost {
  contact: ControlContact = recordConfirmation(recordTick(NO_CONTACT, CONTROL, INTERVAL_MS, createMoment(0)).contact, 0, createMoment(1)).contact
  readonly effects: CoreEffect[] = []

  static create (): TestHost {
    return new TestHost()
  }

  get texts (): readonly string[] {
    return this.effects.filter((effect): effect is RecordEvent => effect.kind === 'timeline/record').map(({ text }) => text)
  }

  get told (): readonly unknown[] {
    return this.effects.filter((effect): effect is Tell => effect.kind === 'loop/tell').map(({ message }) => message)
  }

  /** Ticks on time until a time, or at the given times. */
  sendTicks (times: number | readonly number[]): void {
    const first = (this.contact.tickedAtMs ?? 0) + INTERVAL_MS
    const all = typeof times === 'number' ? Array.from({ length: (times - first) / INTERVAL_MS + 1 }, (_, index) => first + index * INTERVAL_MS) : times
    for (const atMs of all) this.#apply(recordTick(this.contact, CONTROL, INTERVAL_MS, createMoment(atMs)))
  }

  acknowledge (askedAtMs: number, atMs: number): void {
    this.#apply(recordConfirmation(this.contact, askedAtMs, createMoment(atMs)))
  }

  receive (from: string, atMs: number, told: Partial<VersionsTold> = {}): void {
    const incarnation = `i${from.slice(1)}`
    this.#apply(recordVersions(this.contact, CONTROL, { kind: 'membership/versions-told', from, round: this.contact.round, incarnation, configuration: { members: MEMBERS }, configurationTerm: 1, configurationIndex: 1, versions: [{ service: 'rota', version: 4 }], ...told }, createMoment(atMs)))
  }

  #apply ({ contact, effects }: ContactStep): void {
    this.contact = contact
    this.effects.push(...effects)
  }
}

describe('contact with the control hosts', () => {
  it('reports once that the leader is silent, and that this host was on time', () => {
    const host = TestHost.create()
    host.sendTicks(1_500)
    expect(host.texts).to.deep.equal(['The leader has confirmed nothing for 1000 ms; the loop of this host was 0 ms late.'])
  })

  it('tells a host that is short of processor time from a silent leader', () => {
    const host = TestHost.create()
    host.sendTicks([100, 900, 1_000])
    expect(host.texts).to.deep.equal(['The leader has confirmed nothing for 1000 ms; the loop of this host was 700 ms late.'])
  })

  it('reports for how long the leader was silent, and how long its answer took', () => {
    const host = TestHost.create()
    host.sendTicks([100, 1_100])
    host.acknowledge(1_050, 1_400)
    expect(host.texts.slice(1)).to.deep.equal(['The leader confirms this host again after 1400 ms, by an answer that took 350 ms; the loop was 900 ms late.'])
    host.acknowledge(1_200, 1_500)
    expect(host.texts).to.have.length(2)
  })

  it('asks all control hosts once a second while the leader is silent, and none before', () => {
    const host = TestHost.create()
    host.sendTicks(900)
    expect(host.effects).to.deep.equal([])
    host.sendTicks(2_900)
    const asked = host.effects.filter((effect): effect is SendPeer => effect.kind === 'peer/send')
    expect(asked.map(({ to, message }) => [to, message])).to.deep.equal([1, 2].flatMap(round => CONTROL.map(to => [to, { kind: 'agreement/versions-asked', round }])))
  })

  it('ends when no majority answers', () => {
    const host = TestHost.create()
    host.sendTicks(1_000)
    host.receive('c1', 1_010)
    host.sendTicks(1_900)
    expect(host.contact.isolated).to.equal(false)
    host.sendTicks(2_000)
    expect(host.told).to.deep.equal([{ kind: 'admission/contact-changed', isolated: true }])
  })

  it('lasts while a majority answers, and is regained with it', () => {
    const host = TestHost.create()
    host.sendTicks(1_000)
    host.receive('c1', 1_010)
    host.receive('c2', 1_020)
    host.sendTicks(2_900)
    expect(host.contact.isolated).to.equal(false)
    host.sendTicks(3_100)
    expect(host.contact.isolated).to.equal(true)
    host.receive('c3', 3_110)
    expect(host.contact.isolated).to.equal(true)
    host.receive('c2', 3_120)
    expect(host.contact.isolated).to.equal(false)
  })

  it('does not end on a host that is short of processor time, whose answers wait', () => {
    const host = TestHost.create()
    host.sendTicks([1_000, 2_000, 3_000, 4_000, 5_000])
    expect(host.contact.isolated).to.equal(false)
  })
})

describe('the versions that control hosts hold', () => {
  const readHeld = (host: TestHost): readonly unknown[] => host.told.filter(message => (message as { readonly kind: string }).kind === 'admission/versions-held')

  it('are known once a majority has told them, as of the time at which the last of these was asked', () => {
    const host = TestHost.create()
    host.sendTicks(1_000)
    host.receive('c1', 1_010)
    expect(readHeld(host)).to.deep.equal([])
    host.receive('c2', 1_020, { versions: [{ service: 'rota', version: 6 }] })
    expect(readHeld(host)).to.deep.equal([{ kind: 'admission/versions-held', versions: [{ service: 'rota', version: 6 }], askedAtMs: 1_000 }])
  })

  it('are those of members alone: a control host that lost its disk may have forgotten a version', () => {
    const host = TestHost.create()
    host.sendTicks(1_000)
    host.receive('c1', 1_010)
    host.receive('c2', 1_020, { incarnation: 'new', configuration: undefined, configurationTerm: 0, configurationIndex: 0, versions: [] })
    expect(readHeld(host)).to.deep.equal([])
    host.receive('c3', 1_030)
    expect(readHeld(host)).to.have.length(1)
  })

  it('need a majority of the newest members that any answer names', () => {
    const host = TestHost.create()
    host.sendTicks(1_000)
    const changing = { configuration: { members: { c1: 'i1', c4: 'i4', c5: 'i5' }, old: MEMBERS }, configurationIndex: 9 }
    host.receive('c1', 1_010, changing)
    host.receive('c2', 1_020)
    expect(readHeld(host)).to.deep.equal([])
    host.receive('c4', 1_030, changing)
    expect(readHeld(host)).to.have.length(1)
  })

  it('are not taken from an answer to a round that is long over', () => {
    const host = TestHost.create()
    host.sendTicks(1_000)
    host.receive('c1', 1_010, { round: 7 })
    host.receive('c2', 1_020, { round: 7 })
    expect(readHeld(host)).to.deep.equal([])
  })
})
