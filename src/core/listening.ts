/** Listening servers. */
import type { Server } from 'node:net'

/**
 * Starts to listen. Later errors of the server, such as one of accepting a connection for lack of memory, are reported and
 * end no host: it goes on with the connections that it has.
 * @example await startListening(server, '127.0.0.1', 5432, error => log(error.message))
 * @throws an Error of the operating system when the address is not available.
 */
export async function startListening (server: Server, ip: string, port: number, onError: (error: Error) => void, backlog?: number): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen({ host: ip, port, backlog }, () => {
      server.off('error', reject)
      server.on('error', onError)
      resolve()
    })
  })
}
