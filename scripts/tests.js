/** Runs the tests of the given files except those listed in KNOWN-RED.txt, and prints that list. */
import { spawnSync } from 'node:child_process'
import { existsSync, readFileSync } from 'node:fs'

/**
 * Runs mocha with files and further arguments, and ends the process with its status.
 * @example runTests(['src/**' + '/*.test.ts'], process.argv.slice(2))
 */
export function runTests (files, args) {
  const knownRed = existsSync('KNOWN-RED.txt') ? readFileSync('KNOWN-RED.txt', 'utf8') : ''
  const titles = [...knownRed.matchAll(/^test: (.+)$/gm)].map(match => match[1].replace(/[.*+?^${}()|[\]\\]/g, '\\$&'))
  const excludeArgs = titles.length === 0 ? [] : ['--grep', titles.join('|'), '--invert']

  if (titles.length > 0) console.log(`Known red, not run:\n${knownRed}`)
  const run = spawnSync(process.execPath, ['node_modules/mocha/bin/mocha.js', ...files, ...excludeArgs, ...args], { stdio: 'inherit' })
  process.exit(run.status ?? 1)
}
