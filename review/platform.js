/** The platform: promotion calls, each checked against the highest fencing token of its service. */
import { createServer } from 'node:http'

/** Serves POST /promotion for groups. */
export class Platform {
  static async create (groups, record) {
    const platform = new Platform()
    const fences = new Map()
    platform.server = createServer((request, response) => {
      let text = ''
      request.on('data', chunk => { text += chunk })
      request.on('end', () => {
        const { service, id } = JSON.parse(text)
        const fence = Number(request.headers['x-fence-token'])
        const group = groups.find(candidate => candidate.service === service)
        const accepted = group !== undefined && fence >= (fences.get(service) ?? 0) && group.hasRunning(id)
        if (accepted) {
          fences.set(service, fence)
          group.promote(id)
        }
        record.write('platform', `promotion of ${id} in ${service} by ${request.headers['x-duty-holder']} with fence ${fence}: ${accepted ? 200 : 409}`)
        response.writeHead(accepted ? 200 : 409).end()
      })
    })
    await new Promise(resolve => platform.server.listen(0, '127.0.0.1', resolve))
    platform.address = `127.0.0.1:${platform.server.address().port}`
    return platform
  }

  stop () {
    this.server.close()
    this.server.closeAllConnections()
  }
}
