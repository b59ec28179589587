#!/usr/bin/env node
/** The daemon, which runs one host of fulmartally. */
import { readFile } from 'node:fs/promises'
import { Command } from 'commander'
import { formatFindings } from '../core/findings.js'
import { parseSettings } from '../settings/settings.js'
import { Host } from './host.js'
import { PostgresEdge } from './postgres.js'

const EXIT_SETTINGS_UNREADABLE = 66
const EXIT_ADDRESS_UNAVAILABLE = 69
const EXIT_INTERNAL_ERROR = 70
const EXIT_SETTINGS_INVALID = 78
const EXIT_CODES = `
Exit codes:
  0   stopped by request
  66  the settings file cannot be read
  69  the host cannot listen at an address
  70  internal error
  78  the settings are invalid`

const program = new Command('fulmartallyd')
  .description('Runs one host of fulmartally.')
  .requiredOption('--settings <file>', 'the settings of the host, as JSON with comments')
  .addHelpText('after', EXIT_CODES)

program.parse()
await run(program.opts<{ settings: string }>().settings)

async function run (file: string): Promise<void> {
  const text = await readFile(file, 'utf8').catch((error: Error) => endWithError(EXIT_SETTINGS_UNREADABLE, error))
  const settings = parseSettings(text)
  if (settings.isErr) {
    console.error(formatFindings(file, settings.error))
    process.exit(EXIT_SETTINGS_INVALID)
  }
  const host = await Host.create(settings.value, fault => {
    console.error(fault)
    process.exit(EXIT_INTERNAL_ERROR)
  }, PostgresEdge.create()).catch((error: Error) => endWithError(EXIT_ADDRESS_UNAVAILABLE, error))
  console.log(JSON.stringify({ ready: host.addresses }))
  process.on('SIGTERM', host.stop)
  await host.stopped
  await host[Symbol.asyncDispose]()
  process.exit(0)
}

function endWithError (code: number, error: Error): never {
  console.error(`daemon: ${error.message}.`)
  process.exit(code)
}
