import { expect } from 'chai'
import { isLongerThan, truncateToBytes } from './bytes.js'

describe('the size of a text in UTF-8', () => {
  it('is counted in bytes, not in characters', () => {
    expect(isLongerThan('žžž', 6)).to.equal(false)
    expect(isLongerThan('žžž', 5)).to.equal(true)
    expect(isLongerThan('abc', 3)).to.equal(false)
  })

  it('bounds the beginning of a text, which holds as many characters as fit', () => {
    expect(truncateToBytes('abcd', 3)).to.equal('abc')
    expect(truncateToBytes('abcd', 9)).to.equal('abcd')
    expect(truncateToBytes('žžž', 5)).to.equal('žž')
    expect(truncateToBytes('abžž', 5)).to.equal('abž')
    expect(truncateToBytes('', 5)).to.equal('')
  })

  it('holds at least one character, so that what is sent in parts always goes on', () => {
    expect(truncateToBytes('ž', 1)).to.equal('ž')
  })

  it('leaves nothing out of a text that is sent in parts, also where a part splits a surrogate pair', () => {
    const text = 'a🌸ž'.repeat(50)
    let received = ''
    while (received.length < text.length) received += JSON.parse(JSON.stringify(truncateToBytes(text.slice(received.length), 10)))
    expect(received).to.equal(text)
  })
})
