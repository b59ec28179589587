/** Callers of the tests over processes. */
import pg from 'pg'
import type { StartedHost } from '../../demo/processes.js'

/** How a caller presents itself. */
export interface Credentials {
  readonly service?: string
  readonly workspace: string
  readonly key?: string
  /** Start-up options, such as the session token. */
  readonly options?: string
}

/**
 * Connects a caller through a host; an error on the idle connection is left to its queries.
 * @example await connectCaller(hosts[0], { workspace: 'parish', key: key.key })
 */
export async function connectCaller (host: StartedHost, { service = 'rota', workspace, key, options }: Credentials): Promise<pg.Client> {
  const [ip, port] = host.addresses.callers.split(':')
  const client = new pg.Client({ host: ip, port: Number(port), database: service, user: workspace, password: key, options })
  client.on('error', () => undefined)
  await client.connect()
  return client
}
