/** The operators' door: connect calls in, outcomes out. */
import { randomUUID } from 'node:crypto'
import type { ConnectRouter } from '@connectrpc/connect'
import { Adapter } from '../core/adapter.js'
import { Operators } from '../gen/fulmartally_pb.js'
import type { HostPost } from '../messages.js'
import type { AnswerOperator } from './decide.js'
import { parseCommand } from './commands.js'
import type { Command, CommandError } from './messages.js'

const ANSWER_WITHIN_MS = 10_000
const MAX_REQUEST_ID_LENGTH = 200
const NO_ANSWER: CommandError = { error: 'no-answer', text: 'The command was not answered in time; its outcome is unknown.' }
const BAD_REQUEST_ID: CommandError = { error: 'bad-command', text: `The request id is not 1 to ${MAX_REQUEST_ID_LENGTH} characters long.` }

/** Takes operators' calls and answers them when the leader decided. */
export class OperatorsDoor extends Adapter {
  readonly name = 'operator'
  readonly #post: HostPost
  readonly #waiting = new Map<string, (outcome: unknown) => void>()

  private constructor (post: HostPost) {
    super()
    this.#post = post
  }

  /**
   * Creates the door.
   * @example OperatorsDoor.create(loop.post)
   */
  static create (post: HostPost): OperatorsDoor {
    return new OperatorsDoor(post)
  }

  execute (effect: AnswerOperator): void {
    this.#waiting.get(effect.operation)?.(effect.outcome)
    this.#waiting.delete(effect.operation)
  }

  /** Adds the operators' service. */
  addRoutes (router: ConnectRouter): void {
    router.service(Operators, {
      operate: async request => ({ outcome: JSON.stringify(await this.#take(request.requestId, request.command)) })
    })
  }

  async #take (requestId: string, text: string): Promise<unknown> {
    if (requestId === '' || requestId.length > MAX_REQUEST_ID_LENGTH) return BAD_REQUEST_ID
    const command = parseCommand(text)
    return command.isErr ? { error: 'bad-command', text: 'The command is not known or not valid.', findings: command.error } : await this.ask(requestId, command.value)
  }

  /** Has a command carried out, and waits for its outcome. */
  async ask (requestId: string, command: Command): Promise<unknown> {
    const operation = randomUUID()
    return await new Promise(resolve => {
      const timer = setTimeout(() => this.execute({ kind: 'operator/answer', operation, outcome: NO_ANSWER }), ANSWER_WITHIN_MS)
      this.#waiting.set(operation, outcome => {
        clearTimeout(timer)
        resolve(outcome)
      })
      this.#post({ kind: 'operations/asked', operation, requestId, command })
    })
  }
}
