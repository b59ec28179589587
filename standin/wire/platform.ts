/** A stand-in of the platform's promotion call. */
import { createServer, type IncomingMessage, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { WireGroup } from './group.js'

const OK = 200
const CONFLICT = 409

/** Takes promotion calls for its groups. */
export class WirePlatform {
  readonly address: string
  readonly #server: Server

  private constructor (server: Server) {
    this.#server = server
    this.address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  }

  /**
   * Starts the platform on a free port of the loopback.
   * @example await WirePlatform.create([group])
   */
  static async create (groups: readonly WireGroup[]): Promise<WirePlatform> {
    const server = createServer((call, response) => {
      readCall(call).then(({ service, id, fence }) => {
        const done = groups.find(group => group.service === service)?.promote(id, fence) === true
        response.writeHead(done ? OK : CONFLICT).end()
      }).catch(() => response.destroy())
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    return new WirePlatform(server)
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    this.#server.close()
    this.#server.closeAllConnections()
  }
}

interface PromotionCall {
  readonly service: string
  readonly id: string
  readonly fence: number
}

async function readCall (call: IncomingMessage): Promise<PromotionCall> {
  let text = ''
  for await (const chunk of call) text += String(chunk)
  const { service, id } = JSON.parse(text) as { readonly service: string, readonly id: string }
  return { service, id, fence: Number(call.headers['x-fence-token']) }
}
