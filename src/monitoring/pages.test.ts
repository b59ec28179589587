import type { IncomingMessage, ServerResponse } from 'node:http'
import { expect } from 'chai'
import { Metrics } from './metrics.js'
import { createPages } from './pages.js'

describe('the pages of a host', () => {
  it('log the path and the error of a page that could not be rendered, and answer with 500', async () => {
    const errors: string[] = []
    const checkReadiness = (): never => { throw new Error('no facts') }
    const pages = createPages({ metrics: Metrics.create(), checkReadiness, onError: (path, error) => errors.push(`${path}: ${String(error)}`) })
    const status = await new Promise<number>(resolve => {
      const response = { writeHead: resolve, end: () => undefined } as unknown as ServerResponse
      pages({ method: 'GET', url: '/ready?verbose' } as IncomingMessage, response)
    })
    expect(status).to.equal(500)
    expect(errors).to.deep.equal(['/ready: Error: no facts'])
  })
})
