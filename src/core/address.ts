/** Addresses: an IP and a port. */

/**
 * Splits an address into its IP and its port.
 * @example splitAddress('127.0.0.1:5432') // ['127.0.0.1', 5432]
 */
export function splitAddress (address: string): readonly [ip: string, port: number] {
  const colon = address.lastIndexOf(':')
  return [address.slice(0, colon).replace(/^\[|\]$/g, ''), Number(address.slice(colon + 1))]
}
