/** The servers for peers and operators. */
import type { Server } from 'node:http'
import { createServer as createHttp2Server, type Http2Server, type Http2ServerRequest, type Http2ServerResponse, type ServerHttp2Session } from 'node:http2'
import type { AddressInfo } from 'node:net'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import type { ConnectRouter } from '@connectrpc/connect'
import type { MemoryAccount } from '../memory/account.js'
import { createLimitedServer, observePeers } from '../memory/servers.js'
import { MAX_MESSAGE_BYTES } from '../peers/stream.js'
import type { HandlePage } from '../monitoring/pages.js'
import { splitAddress } from '../core/address.js'
import { startListening } from '../core/listening.js'

/** The largest command that an operator may send. */
const MAX_COMMAND_BYTES = 4_194_304

type RequestHandler = ReturnType<typeof connectNodeAdapter>

/** A listening server; disposing of it closes its connections. */
export interface ListeningServer extends AsyncDisposable {
  /** The address as `IP:PORT`, with the port that was assigned for port 0. */
  readonly address: string
}

/** Handles the stream of a peer; returns false for any other request. */
export type HandleStream = (request: Http2ServerRequest, response: Http2ServerResponse) => boolean

/**
 * Serves Connect over HTTP/2 for peers and databases; `handleStream` takes the streams of peers before it.
 * @example await listenForPeers('127.0.0.1:0', router => edge.addRoutes(router), onError, link.handleRequest)
 */
export async function listenForPeers (address: string, routes: (router: ConnectRouter) => void, onError: (error: Error) => void, handleStream: HandleStream = () => false, account?: MemoryAccount): Promise<ListeningServer> {
  const sessions = new Set<ServerHttp2Session>()
  const handle = connectNodeAdapter({ routes, shutdownSignal: undefined, readMaxBytes: MAX_MESSAGE_BYTES })
  const server = createHttp2Server((request, response) => {
    if (!handleStream(request, response)) handle(request, response)
  })
  if (account !== undefined) observePeers(server, account)
  server.on('session', session => {
    sessions.add(session)
    session.on('close', () => sessions.delete(session))
  })
  const listening = await listen(server, address, onError)
  return {
    address: listening,
    [Symbol.asyncDispose]: async () => {
      server.close()
      for (const session of sessions) session.destroy()
    }
  }
}

/**
 * Serves Connect over HTTP/1.1 for operators, together with the monitoring pages.
 * @example await listenForOperators('127.0.0.1:0', router => operatorsApi.addRoutes(router), onError, account)
 */
export async function listenForOperators (address: string, routes: (router: ConnectRouter) => void, onError: (error: Error) => void, account: MemoryAccount, handlePage?: HandlePage): Promise<ListeningServer> {
  const fallback = handlePage as RequestHandler | undefined
  const server = createLimitedServer(account, connectNodeAdapter({ routes, fallback, readMaxBytes: MAX_COMMAND_BYTES }))
  const listening = await listen(server, address, onError)
  return {
    address: listening,
    [Symbol.asyncDispose]: async () => {
      server.close()
      server.closeAllConnections()
    }
  }
}

async function listen (server: Server | Http2Server, address: string, onError: (error: Error) => void): Promise<string> {
  const [ip, port] = splitAddress(address)
  await startListening(server, ip, port, onError)
  return `${ip}:${(server.address() as AddressInfo).port}`
}
