/** The control connection to one database: reads its status and sends commands. */
import pg from 'pg'
import { splitAddress } from '../../core/address.js'
import { parsePosition } from './answer.js'
import type { LogPosition } from '../../core/position.js'

const CONTROL_USER = 'fulmartally_control'
const CONTROL_TIMEOUT_MS = 1_000

/** The status that a database reports. */
export interface ReportedStatus {
  readonly primary: boolean
  readonly position: LogPosition
  readonly fencedTerm: number
  /** The position that each database of the group has stored, as known to the primary. */
  readonly storedPositions: ReadonlyMap<string, LogPosition>
  /** The address that a replica follows. */
  readonly source?: string
  /** The total number of entries that the database discarded because no majority stored them. */
  readonly discarded: number
}

interface StatusRow {
  readonly role: string
  readonly position: string
  readonly fenced_term: string
  readonly stored: string
  readonly source: string
  readonly discarded: string
}

/** Runs one query at a time over one connection, and reconnects after a failure. */
export class ControlConnection {
  readonly #address: string
  #client: Promise<pg.Client> | undefined
  /** Settles with the last query; each query waits for the previous one. */
  #lastQuery: Promise<unknown> = Promise.resolve()

  private constructor (address: string) {
    this.#address = address
  }

  /**
   * Creates a control connection that connects at its first query.
   * @example ControlConnection.create('127.0.0.1:5432')
   */
  static create (address: string): ControlConnection {
    return new ControlConnection(address)
  }

  /** Reads the database's status. */
  async readStatus (): Promise<ReportedStatus> {
    return parseStatus(await this.query<StatusRow>('SELECT * FROM fulmartally_status()'))
  }

  /** Fences, promotes or redirects the database, and returns its status afterwards. */
  async command (action: 'fence' | 'promote' | 'follow', term: number, source = ''): Promise<ReportedStatus> {
    const args = action === 'follow' ? `${term}, '${source.replaceAll("'", "''")}'` : String(term)
    return parseStatus(await this.query<StatusRow>(`SELECT * FROM fulmartally_${action}(${args})`))
  }

  /** Runs a query and returns its rows. */
  async query<R> (text: string): Promise<readonly R[]> {
    const previous = this.#lastQuery
    const result = previous.then(() => this.#run<R>(text))
    this.#lastQuery = result.catch(() => undefined)
    return await result
  }

  async #run<R> (text: string): Promise<readonly R[]> {
    const client = await this.#open()
    try {
      const result = await client.query(text)
      return result.rows as R[]
    } catch (error) {
      await this[Symbol.asyncDispose]()
      throw error
    }
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    const client = this.#client
    this.#client = undefined
    await client?.then(open => open.end()).catch(() => undefined)
  }

  #open (): Promise<pg.Client> {
    this.#client ??= this.#connect()
    return this.#client
  }

  async #connect (): Promise<pg.Client> {
    const [host, port] = splitAddress(this.#address)
    const client = new pg.Client({ host, port, user: CONTROL_USER, database: 'postgres', connectionTimeoutMillis: CONTROL_TIMEOUT_MS, query_timeout: CONTROL_TIMEOUT_MS })
    client.on('error', () => { this.#client = undefined })
    try {
      await client.connect()
    } catch (error) {
      this.#client = undefined
      throw error
    }
    return client
  }
}

function parseStatus ([row]: readonly StatusRow[]): ReportedStatus {
  const position = parsePosition(row?.position ?? '')
  if (row === undefined || position === undefined) throw new TypeError('the database reported an invalid status')
  return {
    primary: row.role === 'primary',
    position,
    fencedTerm: Number(row.fenced_term),
    storedPositions: parseStored(row.stored),
    source: row.source === '' ? undefined : row.source,
    discarded: Number(row.discarded)
  }
}

function parseStored (text: string): ReadonlyMap<string, LogPosition> {
  const entries = Object.entries(JSON.parse(text) as Record<string, string>)
  return new Map(entries.flatMap(([database, value]) => {
    const position = parsePosition(value)
    return position === undefined ? [] : [[database, position] as const]
  }))
}
