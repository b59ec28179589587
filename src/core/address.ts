/** Network addresses, written as `IP:PORT`. */

/**
 * Splits an address into IP and port; the brackets around an IPv6 address are removed.
 * @example splitAddress('127.0.0.1:5432') // ['127.0.0.1', 5432]
 */
export function splitAddress (address: string): readonly [ip: string, port: number] {
  const colon = address.lastIndexOf(':')
  return [address.slice(0, colon).replace(/^\[|\]$/g, ''), Number(address.slice(colon + 1))]
}
