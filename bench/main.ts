#!/usr/bin/env node
/** Benchmarks on a single computer with stand-in databases; each measures its baseline in the same run. */
import { mkdtemp } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { Argument, Command } from 'commander'
import { runDocuments } from './documents.js'
import { runFailover } from './failover.js'
import { runFairness } from './fairness.js'
import { runFootprint } from './footprint.js'
import { runLinks } from './links.js'
import { runPath } from './path.js'
import { runRate } from './rate.js'
import { runReads } from './reads.js'
import { runRequestCost } from './requestcost.js'
import { showRows, type Row } from './report.js'

const BENCHMARKS: Readonly<Record<string, (directory: string) => Promise<readonly Row[]>>> = {
  documents: runDocuments,
  failover: runFailover,
  fairness: runFairness,
  footprint: runFootprint,
  links: runLinks,
  path: runPath,
  rate: runRate,
  reads: runReads,
  'request-cost': runRequestCost
}

const program = new Command('bench')
  .description('Runs a benchmark and prints its results as JSON lines and a table.')
  .addArgument(new Argument('<name>', 'benchmark to run').choices(Object.keys(BENCHMARKS)))

program.parse()
const name = program.args[0]!
showRows(name, await BENCHMARKS[name]!(await mkdtemp(join(tmpdir(), 'fulmartally-bench-'))))
process.exit(0)
