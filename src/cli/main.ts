#!/usr/bin/env node
/** The entry point of the command line, for operators and owners of services. */
import { runProgram } from './program.js'
import { ProcessTerminal } from './terminal.js'

process.exitCode = await runProgram(process.argv.slice(2), ProcessTerminal.create(), process.env)
