/** Runs all tests but those of KNOWN-RED.txt, which it prints. */
import { spawnSync } from 'node:child_process'
import { existsSync, readFileSync } from 'node:fs'

const SPECS = ['src/**/*.test.ts', 'platform/**/*.test.ts', 'standin/**/*.test.ts', 'test/**/*.test.ts']
const red = existsSync('KNOWN-RED.txt') ? readFileSync('KNOWN-RED.txt', 'utf8') : ''
const titles = [...red.matchAll(/^test: (.+)$/gm)].map(match => match[1].replace(/[.*+?^${}()|[\]\\]/g, '\\$&'))
const passedOver = titles.length === 0 ? [] : ['--grep', titles.join('|'), '--invert']

if (titles.length > 0) console.log(`Known red, not run:\n${red}`)
const run = spawnSync(process.execPath, ['node_modules/mocha/bin/mocha.js', ...SPECS, ...passedOver, ...process.argv.slice(2)], { stdio: 'inherit' })
process.exit(run.status ?? 1)
