/** Client for operators' commands. */
import { createClient } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { randomUUID } from 'node:crypto'
import { Operators } from '../gen/fulmartally_pb.js'
import type { InferInput } from 'valibot'
import type { CommandSchema } from './commands.js'

/** A command as callers pass it, before defaults are applied. */
export type CommandInput = InferInput<typeof CommandSchema>

/** Request timeout; longer than the host itself waits for the leader. */
const REQUEST_TIMEOUT_MS = 15_000

/**
 * Sends a command to a host and returns its outcome.
 * @example await sendCommand('127.0.0.1:6002', { name: 'document/apply', text, version: 0 })
 * @throws when the host can't be reached.
 */
export async function sendCommand<Outcome> (operators: string, command: CommandInput, requestId: string = randomUUID()): Promise<Outcome> {
  const client = createClient(Operators, createConnectTransport({ baseUrl: `http://${operators}`, httpVersion: '1.1' }))
  const response = await client.operate({ requestId, command: JSON.stringify(command) }, { timeoutMs: REQUEST_TIMEOUT_MS })
  return JSON.parse(response.outcome) as Outcome
}
