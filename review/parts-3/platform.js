/** A stand-in of the platform: the promotion API, as PROTOCOL.md describes it under "Singleton duties". */
import { createServer } from 'node:http'

/** Serves promotions of one group. */
export class Platform {
  address
  #server

  constructor (server) {
    this.#server = server
    this.address = `127.0.0.1:${server.address().port}`
  }

  static async create (group) {
    const server = createServer(async (request, response) => {
      let text = ''
      for await (const chunk of request) text += String(chunk)
      const { service, id } = JSON.parse(text)
      const known = request.method === 'POST' && request.url === '/promotion' && service === group.service
      response.writeHead(known ? await group.promote(id, Number(request.headers['x-fence-token']), request.headers['x-duty-holder']) : 404).end()
    })
    await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))
    return new Platform(server)
  }

  close () {
    this.#server.close()
    this.#server.closeAllConnections()
  }
}
