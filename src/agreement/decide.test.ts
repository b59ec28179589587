import { expect } from 'chai'
import { describeMemberChange } from './decide.js'

describe('the event of a changed control group', () => {
  it('says that a host lost its disk only when its incarnation changed', () => {
    expect(describeMemberChange({ h1: 'a', h2: 'b' }, { h1: 'c', h2: 'b' })).to.equal('Control host h1 counts again under a new incarnation: it had lost its disk.')
  })

  it('names both hosts of a replacement, and hosts that were added or removed alone', () => {
    expect(describeMemberChange({ h1: 'a', h2: 'b' }, { h1: 'a', h3: 'c' })).to.equal('Control host h2 is replaced by h3.')
    expect(describeMemberChange({ h1: 'a' }, { h1: 'a', h3: 'c' })).to.equal('Control host h3 is added.')
    expect(describeMemberChange({ h1: 'a', h2: 'b' }, { h1: 'a' })).to.equal('Control host h2 is removed.')
  })
})
