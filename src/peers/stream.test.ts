import { expect } from 'chai'
import fc from 'fast-check'
import { createPacked } from './encoding.js'
import { encodeMessage, MessageReader, MessageSender } from './stream.js'

const RUNS = 200
const MESSAGES = fc.array(fc.record({ case: fc.constantFrom('frame' as const, 'batch' as const, 'deflatedBatch' as const), value: fc.uint8Array({ maxLength: 400 }) }), { maxLength: 8 })
const MAX_WAITING_MESSAGES = 65_536

describe('the messages of a stream', () => {
  it(`are read as they were written, however the stream is cut (${RUNS} runs)`, () => {
    fc.assert(fc.property(MESSAGES, fc.integer({ min: 1, max: 300 }), (contents, chunkBytes) => {
      const bytes = Buffer.concat(contents.map(content => encodeMessage(createPacked(content))))
      const reader = MessageReader.create()
      const read = Array.from({ length: Math.ceil(bytes.length / chunkBytes) }, (_, index) => reader.read(bytes.subarray(index * chunkBytes, (index + 1) * chunkBytes))).flat()
      expect(read.map(({ content }) => [content.case, [...content.value!]])).to.deep.equal(contents.map(content => [content.case, [...content.value]]))
    }), { numRuns: RUNS })
  })

  it('are rejected when they are compressed, too long or broken', () => {
    const message = encodeMessage(createPacked({ case: 'frame', value: Uint8Array.from([1, 2, 3]) }))
    const change = (index: number, byte: number): Buffer => Buffer.from(message.map((old, at) => at === index ? byte : old))
    for (const broken of [change(0, 1), change(1, 255), change(6, 4)]) expect(() => MessageReader.create().read(broken)).to.throw(RangeError)
  })
})

describe('the sender of a stream', () => {
  it('refuses messages when too many wait, and all once it is closed', () => {
    const sender = MessageSender.create()
    const message = new Uint8Array(1)
    for (let count = 0; count < MAX_WAITING_MESSAGES; count++) expect(sender.send(message)).to.equal(true)
    expect(sender.send(message)).to.equal(false)
    const closed = MessageSender.create()
    closed.close()
    expect(closed.send(message)).to.equal(false)
  })
})
