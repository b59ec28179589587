/** Sockets to databases. */
import { connect, Socket, type TcpNetConnectOpts } from 'node:net'
import { isAddress, splitAddress } from '../core/address.js'

/**
 * Opens a socket to a database. An invalid address is reported by the events `error` and `close`, like one that does not
 * answer: an exception would end the host.
 * @example openSocket('127.0.0.1:5432').on('error', error => log(error.message))
 */
export function openSocket (address: string, options: Omit<TcpNetConnectOpts, 'host' | 'port'> = {}): Socket {
  if (!isAddress(address)) {
    const socket = new Socket()
    setImmediate(() => socket.destroy(new Error(`${address} is not an IP address and a port`)))
    return socket
  }
  const [host, port] = splitAddress(address)
  return connect({ ...options, host, port, noDelay: true })
}
