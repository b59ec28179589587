/** Runs all tests except those listed in KNOWN-RED.txt, and prints that list. */
import { spawnSync } from 'node:child_process'
import { existsSync, readFileSync } from 'node:fs'

const SPECS = ['src/**/*.test.ts', 'platform/**/*.test.ts', 'standin/**/*.test.ts', 'test/**/*.test.ts']
const knownRed = existsSync('KNOWN-RED.txt') ? readFileSync('KNOWN-RED.txt', 'utf8') : ''
const titles = [...knownRed.matchAll(/^test: (.+)$/gm)].map(match => match[1].replace(/[.*+?^${}()|[\]\\]/g, '\\$&'))
const excludeArgs = titles.length === 0 ? [] : ['--grep', titles.join('|'), '--invert']

if (titles.length > 0) console.log(`Known red, not run:\n${knownRed}`)
const run = spawnSync(process.execPath, ['node_modules/mocha/bin/mocha.js', ...SPECS, ...excludeArgs, ...process.argv.slice(2)], { stdio: 'inherit' })
process.exit(run.status ?? 1)
