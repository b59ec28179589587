/** Runs all tests but those of crowds, which run by themselves. */
import { runTests } from './tests.js'

const FILES = ['src/**/*.test.ts', 'platform/**/*.test.ts', 'standin/**/*.test.ts', 'test/**/*.test.ts', '--ignore', 'test/crowds/**']

runTests(FILES, process.argv.slice(2))
