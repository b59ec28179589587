/** Applies the limits of a process to its HTTP servers. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Http2Server } from 'node:http2'
import type { Socket } from 'node:net'
import type { ConnectionShare, MemoryAccount } from './account.js'

const UNAVAILABLE = 503
/** What a body of unstated length is taken to hold until more of it has arrived. */
const UNSTATED_BODY_BYTES = 65_536
const CHECK_INTERVAL_MS = 1_000
/** Those who share a part of the account as callers of HTTP servers. */
const OPERATORS = 'operators'
/** Calls that may be sent ahead on a connection; common clients send none. */
const MAX_UNANSWERED_CALLS = 16

interface Connection {
  readonly share: ConnectionShare
  unanswered: number
  /** Bodies of the unanswered calls. */
  bodyBytes: number
  /** True while the rest of a body is missing. */
  receiving: boolean
}

type HandleRequest = (request: IncomingMessage, response: ServerResponse) => void

/**
 * Creates an HTTP/1.1 server for operators or databases, whose connections and bodies are limited. A call whose body has no
 * room is answered with 503 before its body is read, and its connection ends.
 * @example createLimitedServer(account, (request, response) => response.end())
 */
export function createLimitedServer (account: MemoryAccount, handle: HandleRequest): Server {
  const { startMs, messageMs } = account.limits
  const connections = new WeakMap<Socket, Connection>()
  const options = { headersTimeout: startMs, requestTimeout: startMs + messageMs, connectionsCheckingInterval: CHECK_INTERVAL_MS }
  const server = createServer(options, (request, response) => {
    const connection = connections.get(request.socket)
    if (connection !== undefined && admitCall(connection, request, response)) handle(request, response)
  })
  server.on('connection', socket => {
    const share = account.open(socket, 'operator')
    if (share === undefined) return
    share.setParty(OPERATORS)
    connections.set(socket, { share, unanswered: 0, bodyBytes: 0, receiving: false })
  })
  return server
}

function admitCall (connection: Connection, request: IncomingMessage, response: ServerResponse): boolean {
  const { share } = connection
  share.finishStart()
  connection.unanswered += 1
  if (connection.unanswered > MAX_UNANSWERED_CALLS) {
    request.socket.destroy()
    return false
  }
  let bytes = readBodyBytes(request)
  let isAnswered = false
  changeBodies(connection, bytes, bytes > 0)
  const hasRoom = share.isAdmitted()
  if (hasRoom) request.once('end', () => changeBodies(connection, 0, false))
  else changeBodies(connection, -bytes, true)
  // The rest of the body may arrive after it.
  response.once('close', () => {
    connection.unanswered -= 1
    isAnswered = true
    changeBodies(connection, hasRoom ? -bytes : 0, connection.receiving)
  })
  if (hasRoom) {
    if (!isStated(request)) {
      observeChunks(request, arrivedBytes => {
        const change = Math.max(0, arrivedBytes - bytes)
        if (change === 0 || isAnswered) return true
        bytes += change
        changeBodies(connection, change, true)
        const isAdmitted = share.isAdmitted()
        if (!isAdmitted) share.countRefused()
        return isAdmitted
      })
    }
    return true
  }
  share.countRefused()
  response.writeHead(UNAVAILABLE, { 'content-length': 0, connection: 'close' })
  response.end()
  return false
}

// A listener would take the body from its reader.
function observeChunks (request: IncomingMessage, isAdmitted: (arrivedBytes: number) => boolean): void {
  const push = request.push.bind(request)
  let arrivedBytes = 0
  request.push = (chunk: Buffer | null, encoding?: BufferEncoding) => {
    arrivedBytes += chunk?.length ?? 0
    if (chunk !== null && !isAdmitted(arrivedBytes)) request.socket.destroy()
    return push(chunk, encoding)
  }
}

function changeBodies (connection: Connection, change: number, receiving: boolean): void {
  connection.bodyBytes += change
  connection.receiving = receiving
  connection.share.update(connection.bodyBytes, receiving)
}

function readBodyBytes (request: IncomingMessage): number {
  return isStated(request) ? Number(request.headers['content-length'] ?? 0) : UNSTATED_BODY_BYTES
}

function isStated ({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] === undefined
}

/**
 * Takes the connections of an HTTP/2 server for peers into the account.
 * @example observePeers(server, account)
 */
export function observePeers (server: Http2Server, account: MemoryAccount): void {
  // The server emits 'session' while it handles 'connection'.
  let accepted: ConnectionShare | undefined
  server.prependListener('connection', (socket: Socket) => { accepted = account.open(socket, 'peer') })
  server.on('session', session => {
    const share = accepted
    session.once('remoteSettings', () => share?.finishStart())
  })
}
