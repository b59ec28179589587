/** A stand-in of the platform's promotion API. */
import { createServer, type IncomingMessage, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { WireGroup } from './group.js'

const HTTP_OK = 200
const HTTP_CONFLICT = 409

/** Serves promotion requests for its groups. */
export class WirePlatform {
  readonly address: string
  /** The service of each promotion request, in order. */
  readonly requested: readonly string[]
  readonly #server: Server

  private constructor (server: Server, requested: readonly string[]) {
    this.#server = server
    this.requested = requested
    this.address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  }

  /**
   * Starts the platform on a free loopback port.
   * @example await WirePlatform.create([group])
   */
  static async create (groups: readonly WireGroup[]): Promise<WirePlatform> {
    const requested: string[] = []
    const server = createServer((request, response) => {
      readPromotionRequest(request).then(({ service, id, fence }) => {
        requested.push(service)
        const promoted = groups.find(group => group.service === service)?.promote(id, fence) === true
        response.writeHead(promoted ? HTTP_OK : HTTP_CONFLICT).end()
      }).catch(() => response.destroy())
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    return new WirePlatform(server, requested)
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    this.#server.close()
    this.#server.closeAllConnections()
  }
}

interface PromotionRequest {
  readonly service: string
  readonly id: string
  readonly fence: number
}

async function readPromotionRequest (request: IncomingMessage): Promise<PromotionRequest> {
  let text = ''
  for await (const chunk of request) text += String(chunk)
  const { service, id } = JSON.parse(text) as { readonly service: string, readonly id: string }
  return { service, id, fence: Number(request.headers['x-fence-token']) }
}
