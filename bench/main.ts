#!/usr/bin/env node
/** Measurements on one machine, with stand-in databases; each has its baseline in the same run. */
import { mkdtemp } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Argument, Command } from 'commander'
import { runDocuments } from './documents.js'
import { runFailover } from './failover.js'
import { runFairness } from './fairness.js'
import { runFootprint } from './footprint.js'
import { runPath } from './path.js'
import { runRate } from './rate.js'
import { runReads } from './reads.js'
import { showRows, type Row } from './report.js'

const BENCHES: Readonly<Record<string, (directory: string) => Promise<readonly Row[]>>> = {
  documents: runDocuments,
  failover: runFailover,
  fairness: runFairness,
  footprint: runFootprint,
  path: runPath,
  rate: runRate,
  reads: runReads
}

const program = new Command('bench')
  .description('Measures one side of the system and prints JSON lines and a table.')
  .addArgument(new Argument('<name>', 'what to measure').choices(Object.keys(BENCHES)))

program.parse()
const name = program.args[0]!
showRows(name, await BENCHES[name]!(await mkdtemp(join(tmpdir(), 'fulmartally-bench-'))))
process.exit(0)
