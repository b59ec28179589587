/** Network addresses, written as `IP:PORT`. */
import { isIP } from 'node:net'

const MAX_PORT = 65_535

/**
 * Splits an address into IP and port; the brackets around an IPv6 address are removed.
 * @example splitAddress('127.0.0.1:5432') // ['127.0.0.1', 5432]
 */
export function splitAddress (address: string): readonly [ip: string, port: number] {
  const colon = address.lastIndexOf(':')
  return [address.slice(0, colon).replace(/^\[|\]$/g, ''), Number(address.slice(colon + 1))]
}

/**
 * Tells whether a text is an IP address and a port from 1 to 65535; connecting to any other throws.
 * @example isAddress('127.0.0.1:99999') // false
 */
export function isAddress (address: string): boolean {
  const [ip, port] = splitAddress(address)
  return isIP(ip) !== 0 && Number.isInteger(port) && port >= 1 && port <= MAX_PORT
}
