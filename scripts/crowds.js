/** Runs the tests of crowds of clients one at a time, apart from other load. */
import { runTests } from './tests.js'

const TIMEOUT_MS = 180_000

runTests(['test/crowds/**/*.test.ts', '--timeout', String(TIMEOUT_MS)], process.argv.slice(2))
