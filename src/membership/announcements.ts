/** Where databases announce themselves. */
import type { ConnectRouter } from '@connectrpc/connect'
import { Announcements, type AnnounceRequest } from '../gen/fulmartally_pb.js'
import type { HostPost } from '../messages.js'
import type { Announced } from './messages.js'

/** Brings databases' announcements into the loop. */
export abstract class AnnouncementSource {
  /** Stops listening. */
  abstract [Symbol.asyncDispose] (): Promise<void>
}

/** Takes announcements over connect, beside the peers' streams. */
export class ConnectAnnouncements extends AnnouncementSource {
  readonly #post: HostPost

  private constructor (post: HostPost) {
    super()
    this.#post = post
  }

  /**
   * Creates the source.
   * @example ConnectAnnouncements.create(loop.post)
   */
  static create (post: HostPost): ConnectAnnouncements {
    return new ConnectAnnouncements(post)
  }

  /** Adds the service that databases call. */
  addRoutes (router: ConnectRouter): void {
    const take = (request: AnnounceRequest): void => this.#post(createAnnounced(request))
    router.service(Announcements, {
      announce: request => {
        take(request)
        return {}
      }
    })
  }

  async [Symbol.asyncDispose] (): Promise<void> {}
}

function createAnnounced (request: AnnounceRequest): Announced {
  return {
    kind: 'membership/announced',
    term: Number(request.term),
    primary: request.primary,
    entry: {
      kind: 'database',
      database: request.name,
      group: request.group,
      failureDomain: request.failureDomain,
      address: request.address,
      slots: request.slots,
      connectionLimit: request.connectionLimit,
      departing: request.departing
    }
  }
}
