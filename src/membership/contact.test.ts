import { expect } from 'chai'
import type { CoreEffect, Moment, RecordEvent, SendPeer, Tell } from '../core/message.js'
import { NO_CONTACT, recordConfirmation, recordTick, recordVersions, type ControlContact, type ContactStep } from './contact.js'
import type { VersionsHeld } from './messages.js'

const INTERVAL_MS = 100
const CONTROL = ['c1', 'c2', 'c3']
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

  /** The times of questions, and the control hosts that were asked. */
  get asked (): ReadonlyArray<readonly [number | undefined, string]> {
    return this.effects.filter((effect): effect is SendPeer => effect.kind === 'peer/send').map(({ to, message }) => {
      const { kind, round } = message as unknown as { readonly kind: string, readonly round: number }
      expect(kind).to.equal('agreement/held-asked')
      return [this.contact.sentAtMsByRound.get(round), to]
    })
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

  /** Receives the answer of a control host that reaches a majority. */
  receive (held: Partial<VersionsHeld> = {}): void {
    this.#apply(recordVersions(this.contact, { kind: 'membership/versions-held', round: this.contact.round, versions: [{ service: 'rota', version: 4 }], ...held }))
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

  it('asks one control host once a second while the leader is silent and that host answers, and none before', () => {
    const host = TestHost.create()
    host.sendTicks(900)
    expect(host.effects).to.deep.equal([])
    for (const atMs of [1_000, 2_000, 3_000]) {
      host.sendTicks(atMs)
      host.receive()
    }
    host.sendTicks(3_900)
    expect(host.asked).to.deep.equal([[1_000, 'c1'], [2_000, 'c1'], [3_000, 'c1']])
  })

  it('asks the other control hosts soon, one after the other, while none answers, and then once a second', () => {
    const host = TestHost.create()
    host.sendTicks(4_000)
    expect(host.asked).to.deep.equal([[1_000, 'c1'], [1_300, 'c2'], [1_600, 'c3'], [2_600, 'c1'], [3_600, 'c2']])
  })

  it('stays with the control host that answered', () => {
    const host = TestHost.create()
    host.sendTicks(1_300)
    host.receive()
    host.sendTicks(2_400)
    expect(host.asked).to.deep.equal([[1_000, 'c1'], [1_300, 'c2'], [2_300, 'c2']])
  })

  it('ends when no control host that reaches a majority answers', () => {
    const host = TestHost.create()
    host.sendTicks(1_900)
    expect(host.contact.isolated).to.equal(false)
    host.sendTicks(2_000)
    expect(host.told).to.deep.equal([{ kind: 'admission/contact-changed', isolated: true }])
  })

  it('lasts while one that reaches a majority answers, and is regained with it', () => {
    const host = TestHost.create()
    host.sendTicks(1_000)
    host.receive({ versions: undefined })
    host.sendTicks(2_900)
    expect(host.contact.isolated).to.equal(false)
    host.sendTicks(3_100)
    expect(host.contact.isolated).to.equal(true)
    host.receive({ versions: undefined })
    expect(host.contact.isolated).to.equal(false)
  })

  it('does not end on a host that is short of processor time, whose answers wait', () => {
    const host = TestHost.create()
    host.sendTicks([1_000, 2_000, 3_000, 4_000, 5_000])
    expect(host.contact.isolated).to.equal(false)
  })
})

describe('the versions that a majority of the control hosts holds', () => {
  const readHeld = (host: TestHost): readonly unknown[] => host.told.filter(message => (message as { readonly kind: string }).kind === 'admission/versions-held')

  it('are known as of the time at which the host asked', () => {
    const host = TestHost.create()
    host.sendTicks(1_000)
    expect(readHeld(host)).to.deep.equal([])
    host.receive({ versions: [{ service: 'rota', version: 6 }] })
    expect(readHeld(host)).to.deep.equal([{ kind: 'admission/versions-held', versions: [{ service: 'rota', version: 6 }], askedAtMs: 1_000 }])
  })

  it('are not known when a majority of the control hosts answers, but not one of the members', () => {
    const host = TestHost.create()
    host.sendTicks(1_000)
    host.receive({ versions: undefined })
    expect(readHeld(host)).to.deep.equal([])
  })

  it('are not taken from an answer to a question that is long over, or of an earlier process', () => {
    const host = TestHost.create()
    host.sendTicks(1_000)
    host.receive({ round: 7 })
    expect(readHeld(host)).to.deep.equal([])
  })
})
