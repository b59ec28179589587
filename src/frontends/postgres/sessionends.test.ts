/** Random schedules of a caller, its connection and the reasons to end it; guards against statements that end without a complete answer. */
import { expect } from 'chai'
import { PostgresProtocol } from '../../../test/support/postgresprotocol.js'
import { findViolations, type Reasons } from '../../../test/support/sessionschedules.js'

describe('the end of a PostgreSQL connection leaves no statement without one complete answer', () => {
  const SCHEDULES: ReadonlyArray<readonly [title: string, createReasons: (seed: number) => Reasons]> = [
    ['when nothing but its caller ends it', () => ({ host: [] })],
    ['when its key is withdrawn and nothing else happens', () => ({ host: ['withdrawal'] })],
    ['when its host stops', () => ({ host: ['stop'] })],
    ['when the time limit of its host\'s stop comes', () => ({ host: ['short stop'] })],
    ['when a stop has no time left', () => ({ host: ['end of a stop'] })],
    ['when its caller sends Terminate behind a running statement', () => ({ host: [], tail: 'close' })],
    ['when its caller sends an unknown message behind a running statement', () => ({ host: [], tail: 'malformed' })],
    ['when its caller sends an overlong message behind a running statement', () => ({ host: [], tail: 'overlong' })],
    ['when its key is withdrawn while its host stops', seed => ({ host: ['withdrawal', seed % 2 === 0 ? 'stop' : 'short stop'] })],
    ['when its host stops behind Terminate or an unknown message', seed => ({ host: [seed % 2 === 0 ? 'stop' : 'short stop'], tail: seed % 3 === 0 ? 'close' : 'malformed' })],
    ['when its key is withdrawn behind Terminate or an unknown message', seed => ({ host: ['withdrawal'], tail: seed % 2 === 0 ? 'close' : 'malformed' })]
  ]
  for (const [title, createReasons] of SCHEDULES) {
    it(title, async function () {
      this.timeout(300_000)
      expect(await findViolations(PostgresProtocol.create(), createReasons)).to.deep.equal({})
    })
  }
})
