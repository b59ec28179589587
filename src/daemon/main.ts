#!/usr/bin/env node
/** The daemon: one host of fulmartally. */
import { readFile } from 'node:fs/promises'
import { Command } from 'commander'
import { formatFindings } from '../core/findings.js'
import { parseSettings } from '../settings/settings.js'
import { Host } from './host.js'

const EXIT_FAULT = 70
const EXIT_SETTINGS = 78

const program = new Command('fulmartallyd')
  .description('Runs one host of fulmartally.')
  .requiredOption('--settings <file>', 'the settings of the host, as JSON with comments')

program.parse()
await run(program.opts<{ settings: string }>().settings)

async function run (file: string): Promise<void> {
  const settings = parseSettings(await readFile(file, 'utf8'))
  if (settings.isErr) {
    console.error(formatFindings(file, settings.error))
    process.exit(EXIT_SETTINGS)
  }
  const host = await Host.create(settings.value, fault => {
    console.error(fault)
    process.exit(EXIT_FAULT)
  })
  console.log(JSON.stringify({ ready: host.addresses }))
  process.once('SIGTERM', () => {
    host[Symbol.asyncDispose]().then(() => process.exit(0), () => process.exit(EXIT_FAULT))
  })
}
