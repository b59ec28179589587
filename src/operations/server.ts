/** The operators' RPC server, over Connect. */
import { randomUUID } from 'node:crypto'
import type { ConnectRouter } from '@connectrpc/connect'
import { Adapter } from '../core/adapter.js'
import { Operators } from '../gen/fulmartally_pb.js'
import type { HostPost } from '../messages.js'
import type { AnswerOperator } from './decide.js'
import { parseCommand } from './commands.js'
import type { Command, CommandError } from './messages.js'

const ANSWER_TIMEOUT_MS = 10_000
const MAX_REQUEST_ID_LENGTH = 200
const NO_ANSWER: CommandError = { error: 'no-answer', text: 'The command was not answered before the deadline; its outcome is unknown. Retry with the same request id.' }
const BAD_REQUEST_ID: CommandError = { error: 'bad-command', text: `The request id must be 1 to ${MAX_REQUEST_ID_LENGTH} characters long.` }

/** Receives operators' calls and answers them with the outcomes of their commands. */
export class OperatorsServer extends Adapter {
  readonly name = 'operator'
  readonly #post: HostPost
  readonly #pending = new Map<string, (outcome: unknown) => void>()

  private constructor (post: HostPost) {
    super()
    this.#post = post
  }

  /**
   * Creates the server.
   * @example OperatorsServer.create(loop.post)
   */
  static create (post: HostPost): OperatorsServer {
    return new OperatorsServer(post)
  }

  execute (effect: AnswerOperator): void {
    this.#pending.get(effect.operation)?.(effect.outcome)
    this.#pending.delete(effect.operation)
  }

  /** Registers the operators' service. */
  addRoutes (router: ConnectRouter): void {
    router.service(Operators, {
      operate: async request => ({ outcome: JSON.stringify(await this.#handleRequest(request.requestId, request.command)) })
    })
  }

  async #handleRequest (requestId: string, text: string): Promise<unknown> {
    if (requestId === '' || requestId.length > MAX_REQUEST_ID_LENGTH) return BAD_REQUEST_ID
    const command = parseCommand(text)
    return command.isErr ? { error: 'bad-command', text: 'The command is unknown or invalid.', findings: command.error } : await this.runCommand(requestId, command.value)
  }

  /** Executes a command, and waits for its outcome. */
  async runCommand (requestId: string, command: Command): Promise<unknown> {
    const operation = randomUUID()
    return await new Promise(resolve => {
      const timer = setTimeout(() => this.execute({ kind: 'operator/answer', operation, outcome: NO_ANSWER }), ANSWER_TIMEOUT_MS)
      this.#pending.set(operation, outcome => {
        clearTimeout(timer)
        resolve(outcome)
      })
      this.#post({ kind: 'operations/asked', operation, requestId, command })
    })
  }
}
