/** Client connections for tests that run hosts in separate processes. */
import pg from 'pg'
import type { StartedHost } from '../../demo/processes.js'

/** Credentials and startup options of a caller. */
export interface Credentials {
  readonly service?: string
  readonly workspace: string
  readonly key?: string
  /** Options of the startup message, such as the session token. */
  readonly options?: string
}

/**
 * Connects a caller through a host. Errors on the idle connection are ignored; the next query fails with them.
 * @example await connectCaller(hosts[0], { workspace: 'parish', key: key.key })
 */
export async function connectCaller (host: StartedHost, { service = 'rota', workspace, key, options }: Credentials): Promise<pg.Client> {
  const [ip, port] = host.addresses.callers.split(':')
  const client = new pg.Client({ host: ip, port: Number(port), database: service, user: workspace, password: key, options })
  client.on('error', () => undefined)
  await client.connect()
  return client
}
