import { expect } from 'chai'
import type { CoreEffect, Moment, SendPeer, SetTimer } from '../core/message.js'
import type { VersionsTold } from './messages.js'
import { addQuestion, continueReads, NO_READS, receiveVersions, repeatQuestions, type Question, type QuorumReads, type ReadOutcome, type ReadStep } from './quorumread.js'

const CONTROL = ['c1', 'c2', 'c3']
const MEMBERS = { c1: 'i1', c2: 'i2', c3: 'i3' }
const VERSIONS = [{ service: 'rota', version: 4 }]
const createMoment = (monotonicMs: number): Moment => ({ monotonicMs, wallMs: 0, random: 0 })
const createQuestion = (from: string, askedAtMs: number, round = 1): Question => ({ kind: 'versions', from, round, askedAtMs })

/** A control host, the questions that it sent to others, and what its reads found. */
class TestReader {
  reads: QuorumReads = NO_READS
  readonly effects: CoreEffect[] = []
  readonly outcomes: ReadOutcome[] = []

  static create (): TestReader {
    return new TestReader()
  }

  get asked (): readonly string[] {
    return this.effects.filter((effect): effect is SendPeer => effect.kind === 'peer/send').map(({ to }) => to)
  }

  get timer (): number | undefined {
    return this.effects.filter((effect): effect is SetTimer => effect.kind === 'timer/set').at(-1)?.afterMs
  }

  ask (question: Question): void {
    this.#apply(addQuestion(this.reads, question, CONTROL, createMoment(question.askedAtMs)))
  }

  receive (from: string, atMs: number, told: Partial<VersionsTold> = {}): void {
    const incarnation = `i${from.slice(1)}`
    this.#apply(receiveVersions(this.reads, { kind: 'agreement/versions-told', from, round: this.reads.round, incarnation, configuration: { members: MEMBERS }, configurationTerm: 1, configurationIndex: 1, versions: VERSIONS, ...told }, CONTROL, createMoment(atMs)))
  }

  runTimer (atMs: number): void {
    this.#apply(continueReads(this.reads, CONTROL, createMoment(atMs)))
  }

  repeat (questions: readonly Question[], atMs: number): void {
    this.#apply(repeatQuestions(this.reads, questions, CONTROL, createMoment(atMs)))
  }

  #apply ({ reads, outcome, effects }: ReadStep): void {
    this.reads = reads
    this.effects.push(...effects)
    if (outcome !== undefined) this.outcomes.push(outcome)
  }
}

describe('a read that a majority confirms', () => {
  it('asks each control host once, however many hosts ask', () => {
    const reader = TestReader.create()
    const first = createQuestion('h0', 0)
    reader.ask(first)
    const others = Array.from({ length: 200 }, (_, index) => createQuestion(`h${index + 1}`, 1))
    for (const question of others) reader.ask(question)
    expect(reader.asked).to.deep.equal(CONTROL)
    reader.receive('c1', 2)
    reader.receive('c2', 3)
    expect(reader.outcomes).to.deep.equal([{ questions: [first], versions: VERSIONS }])
    expect(reader.timer).to.equal(197)
    reader.runTimer(200)
    expect(reader.asked).to.deep.equal([...CONTROL, ...CONTROL])
    reader.receive('c1', 201)
    reader.receive('c3', 202)
    expect(reader.outcomes[1]).to.deep.equal({ questions: others, versions: VERSIONS })
  })

  it('answers no question that came after it was sent', () => {
    const reader = TestReader.create()
    reader.ask(createQuestion('h1', 0))
    reader.receive('c1', 1)
    reader.ask(createQuestion('h2', 2))
    reader.receive('c2', 3)
    expect(reader.outcomes.flatMap(({ questions }) => questions.map(({ from }) => from))).to.deep.equal(['h1'])
  })

  it('answers the last question of a host alone', () => {
    const reader = TestReader.create()
    reader.ask(createQuestion('h1', 0))
    reader.ask(createQuestion('h2', 1, 1))
    reader.ask(createQuestion('h2', 2, 2))
    expect(reader.reads.waiting).to.deep.equal([createQuestion('h2', 2, 2)])
  })

  it('finds the newest version that any control host of the majority holds', () => {
    const reader = TestReader.create()
    reader.ask(createQuestion('h1', 0))
    reader.receive('c1', 1)
    expect(reader.outcomes).to.deep.equal([])
    reader.receive('c2', 2, { versions: [{ service: 'rota', version: 6 }] })
    expect(reader.outcomes).to.deep.equal([{ questions: [createQuestion('h1', 0)], versions: [{ service: 'rota', version: 6 }] }])
  })

  it('counts members alone: a control host that lost its disk may have forgotten a version', () => {
    const reader = TestReader.create()
    reader.ask(createQuestion('h1', 0))
    reader.receive('c1', 1)
    reader.receive('c2', 2, { incarnation: 'new', configuration: undefined, configurationTerm: 0, configurationIndex: 0, versions: [] })
    expect(reader.outcomes).to.deep.equal([])
    reader.receive('c3', 3)
    expect(reader.outcomes).to.have.length(1)
  })

  it('needs a majority of the newest members that any answer names, and asks them, too', () => {
    const reader = TestReader.create()
    reader.ask(createQuestion('h1', 0))
    const changing = { configuration: { members: { c1: 'i1', c4: 'i4', c5: 'i5' }, old: MEMBERS }, configurationIndex: 9 }
    reader.receive('c1', 1, changing)
    reader.receive('c2', 2)
    expect(reader.outcomes).to.deep.equal([])
    reader.runTimer(1_000)
    expect(reader.asked.slice(3)).to.deep.equal(['c3', 'c4', 'c5'])
    reader.receive('c4', 1_001, changing)
    expect(reader.outcomes.at(-1)?.versions).to.deep.equal(VERSIONS)
  })

  it('takes no answer to an earlier one', () => {
    const reader = TestReader.create()
    reader.ask(createQuestion('h1', 0))
    reader.receive('c1', 1, { round: 0 })
    reader.receive('c2', 2, { round: 0 })
    expect(reader.outcomes).to.deep.equal([])
  })

  it('waits for control hosts that are short of processor time, and asks those again that have not answered', () => {
    const reader = TestReader.create()
    reader.ask(createQuestion('h1', 0))
    reader.receive('c1', 900)
    reader.runTimer(1_000)
    expect(reader.asked).to.deep.equal([...CONTROL, 'c2', 'c3'])
    reader.receive('c2', 1_900)
    expect(reader.outcomes).to.deep.equal([{ questions: [createQuestion('h1', 0)], versions: VERSIONS }])
  })

  it('says that a majority is in reach, but not one of the members', () => {
    const reader = TestReader.create()
    reader.ask(createQuestion('h1', 0))
    reader.receive('c1', 1)
    reader.receive('c2', 2, { incarnation: 'new', configuration: undefined, configurationTerm: 0, configurationIndex: 0, versions: [] })
    reader.runTimer(1_000)
    expect(reader.outcomes).to.deep.equal([{ questions: [createQuestion('h1', 0)] }])
  })

  it('answers nothing while no majority is in reach, and keeps the questions of operators alone', () => {
    const reader = TestReader.create()
    const text: Question = { kind: 'text', from: 'h2', operation: 'o1', service: 'rota', askedAtMs: 0 }
    reader.ask(text)
    reader.ask(createQuestion('h1', 1))
    reader.runTimer(2_000)
    expect(reader.outcomes).to.deep.equal([])
    expect(reader.reads.serving).to.deep.equal([text, createQuestion('h1', 1)])
    reader.runTimer(9_000)
    expect([...reader.reads.serving, ...reader.reads.waiting]).to.deep.equal([])
  })

  it('is repeated while this host lacks what the majority holds, as long as the operator waits', () => {
    const reader = TestReader.create()
    const text: Question = { kind: 'text', from: 'h2', operation: 'o1', service: 'rota', askedAtMs: 0 }
    reader.ask(text)
    reader.receive('c1', 1)
    reader.receive('c2', 2)
    reader.repeat([text], 2)
    expect(reader.timer).to.equal(198)
    reader.repeat([{ ...text, operation: 'o2' }], 9_000)
    expect(reader.reads.waiting).to.deep.equal([text])
  })
})
