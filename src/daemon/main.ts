#!/usr/bin/env node
/** The daemon: one host of fulmartally. */
import { readFile } from 'node:fs/promises'
import { Command } from 'commander'
import { formatFindings } from '../core/findings.js'
import { parseSettings } from '../settings/settings.js'
import { Host } from './host.js'

const EXIT_NO_SETTINGS = 66
const EXIT_ADDRESS = 69
const EXIT_FAULT = 70
const EXIT_SETTINGS = 78
const EXIT_CODES = `
Exit codes:
  0   stopped by request
  66  the settings can not be read
  69  an address can not be listened on
  70  the program found a fault in itself
  78  the settings have findings`

const program = new Command('fulmartallyd')
  .description('Runs one host of fulmartally.')
  .requiredOption('--settings <file>', 'the settings of the host, as JSON with comments')
  .addHelpText('after', EXIT_CODES)

program.parse()
await run(program.opts<{ settings: string }>().settings)

async function run (file: string): Promise<void> {
  const text = await readFile(file, 'utf8').catch((error: Error) => endWith(EXIT_NO_SETTINGS, error))
  const settings = parseSettings(text)
  if (settings.isErr) {
    console.error(formatFindings(file, settings.error))
    process.exit(EXIT_SETTINGS)
  }
  const host = await Host.create(settings.value, fault => {
    console.error(fault)
    process.exit(EXIT_FAULT)
  }).catch((error: Error) => endWith(EXIT_ADDRESS, error))
  console.log(JSON.stringify({ ready: host.addresses }))
  process.on('SIGTERM', host.stop)
  await host.stopped
  await host[Symbol.asyncDispose]()
  process.exit(0)
}

function endWith (code: number, error: Error): never {
  console.error(`daemon: ${error.message}.`)
  process.exit(code)
}
