/** Messages between hosts of different versions. */
import { expect } from 'chai'
import { isPeerMessage } from './kinds.js'

describe('a message from another host', () => {
  it('is ignored when this version does not know it, or when only adapters may post it', () => {
    const kinds = ['membership/beat', 'membership/beat-of-a-later-version', 'unheard/of', 'membership/probed', 'stopping/asked']
    expect(kinds.map(kind => isPeerMessage({ kind }))).to.deep.equal([true, false, false, false, false])
  })
})
