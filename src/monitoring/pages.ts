/** The HTTP pages for metrics, health and readiness, which share the operators' address. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Metrics } from './metrics.js'
import type { Readiness } from './readiness.js'

const OK = 200
const NOT_FOUND = 404
const METHOD_NOT_ALLOWED = 405
const INTERNAL_ERROR = 500
const UNAVAILABLE = 503
const TEXT = 'text/plain; charset=utf-8'
const JSON_TYPE = 'application/json'

/** The sources of the pages. */
export interface PageParts {
  readonly metrics: Metrics
  readonly checkReadiness: () => Readiness
  /** Called with the path and the error of a page that could not be rendered. */
  readonly onError: (path: string, error: unknown) => void
}

interface Page {
  readonly status: number
  readonly type: string
  readonly body: string
}

/** Handles requests other than operators' commands. */
export type HandlePage = (request: IncomingMessage, response: ServerResponse) => void

/**
 * Creates the handler of the pages `/metrics`, `/health` and `/ready`.
 * @example createPages({ metrics, checkReadiness: () => ({ ready: true, inTouch: true }), onError: (path, error) => log(path, error) })
 */
export function createPages (parts: PageParts): HandlePage {
  return (request, response) => {
    createPage(parts, request).then(page => writePage(response, page), (error: unknown) => {
      parts.onError(readPath(request), error)
      writePage(response, { status: INTERNAL_ERROR, type: TEXT, body: 'The page could not be rendered: try again.\n' })
    })
  }
}

async function createPage ({ metrics, checkReadiness }: PageParts, request: IncomingMessage): Promise<Page> {
  if (request.method !== 'GET' && request.method !== 'HEAD') return { status: METHOD_NOT_ALLOWED, type: TEXT, body: 'Method not allowed: use GET or HEAD.\n' }
  switch (readPath(request)) {
    case '/metrics': return { status: OK, type: metrics.contentType, body: await metrics.render() }
    case '/health': return { status: OK, type: JSON_TYPE, body: '{"healthy":true}\n' }
    case '/ready': return createReadyPage(checkReadiness())
    default: return { status: NOT_FOUND, type: TEXT, body: 'Not found: the pages are /metrics, /health and /ready.\n' }
  }
}

function readPath (request: IncomingMessage): string {
  return (request.url ?? '').split('?')[0]!
}

function createReadyPage (readiness: Readiness): Page {
  return { status: readiness.ready ? OK : UNAVAILABLE, type: JSON_TYPE, body: `${JSON.stringify(readiness)}\n` }
}

function writePage (response: ServerResponse, { status, type, body }: Page): void {
  response.writeHead(status, { 'content-type': type, 'cache-control': 'no-store' })
  response.end(body)
}
