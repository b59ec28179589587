#!/usr/bin/env node
/** Runs one stand-in database as a process. */
import { createClient } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { Command } from 'commander'
import { Announcements } from '../src/gen/fulmartally_pb.js'
import { StandInDatabase } from './database.js'
import { FileJournal, MemoryJournal } from './journal.js'
import { Replication } from './replication.js'
import { StandInServer } from './server.js'

const ANNOUNCE_INTERVAL_MS = 200

interface Options {
  readonly name: string
  readonly group: string
  readonly failureDomain: string
  readonly port: string
  readonly advertise?: string
  readonly hosts: string
  readonly slots: string
  readonly connections: string
  readonly connectMs: string
  readonly statementMs: string
  readonly lagMs: string
  readonly primary?: boolean
  readonly follow?: string
  readonly secrets: string
  readonly data?: string
}

const program = new Command('standin')
  .description('A stand-in database of fulmartally, for the demo and the tests.')
  .requiredOption('--name <name>', 'the name of the database')
  .requiredOption('--group <name>', 'the group of the database')
  .requiredOption('--failure-domain <name>', 'the failure domain of the database')
  .option('--port <port>', 'the loopback port; 0 selects a free one', '0')
  .option('--advertise <address>', 'the address to announce, if it differs from the listen address')
  .option('--hosts <list>', 'peer addresses of the hosts to announce to, separated by commas', '')
  .option('--slots <count>', 'the number of concurrent statements', '3')
  .option('--connections <count>', 'the maximum number of connections', '20')
  .option('--connect-ms <ms>', 'the delay of a new connection', '10')
  .option('--statement-ms <ms>', 'the execution time of a statement', '1')
  .option('--lag-ms <ms>', 'the replication lag of a replica', '10')
  .option('--primary', 'starts as the primary of term 1')
  .option('--follow <address>', 'starts as a replica of this database')
  .option('--data <folder>', 'stores the log and role in this folder, so that they survive a restart')
  .option('--secrets <list>', 'texts that must never reach the database, separated by commas', '')

program.parse()
await run(program.opts<Options>())

async function run (options: Options): Promise<void> {
  const journal = options.data === undefined ? MemoryJournal.create() : await FileJournal.create(options.data)
  const database = StandInDatabase.create({ name: options.name, group: options.group, slots: Number(options.slots), statementMs: Number(options.statementMs) }, journal)
  if (journal.recovered.length === 0) initializeRole(database, options)
  await database.awaitSync()
  const server = StandInServer.create(database, {
    connections: Number(options.connections),
    connectMs: Number(options.connectMs),
    secrets: splitList(options.secrets)
  })
  const address = await server.listen(Number(options.port))
  Replication.create(database, Number(options.lagMs))
  startAnnouncing(database, options, options.advertise ?? address)
  console.log(JSON.stringify({ ready: { address } }))
  process.once('SIGTERM', () => process.exit(0))
}

function initializeRole (database: StandInDatabase, options: Options): void {
  if (options.follow !== undefined) database.follow(1, options.follow)
  if (options.primary !== true) return
  database.fence(1)
  database.promote(1)
}

function startAnnouncing (database: StandInDatabase, options: Options, address: string): void {
  const clients = splitList(options.hosts).map(host => createClient(Announcements, createConnectTransport({ baseUrl: `http://${host}`, httpVersion: '2' })))
  const send = (): void => {
    for (const client of clients) {
      client.announce({
        name: options.name,
        group: options.group,
        failureDomain: options.failureDomain,
        address,
        slots: Number(options.slots),
        connectionLimit: Number(options.connections),
        departing: false,
        term: BigInt(database.term),
        primary: database.primary
      }, { timeoutMs: ANNOUNCE_INTERVAL_MS }).catch(() => undefined)
    }
  }
  send()
  setInterval(send, ANNOUNCE_INTERVAL_MS)
}

function splitList (list: string): readonly string[] {
  return list === '' ? [] : list.split(',')
}
