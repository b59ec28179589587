/** Sources of database announcements. */
import type { ConnectRouter } from '@connectrpc/connect'
import { Announcements, type AnnounceRequest } from '../gen/fulmartally_pb.js'
import type { HostPost } from '../messages.js'
import type { DatabaseAnnounced } from './messages.js'

/** Posts announcements of databases to the loop. */
export abstract class AnnouncementSource {
  /** Stops listening. */
  abstract [Symbol.asyncDispose] (): Promise<void>
}

/** Receives announcements over Connect, on the listener that also serves the streams of peers. */
export class ConnectAnnouncements extends AnnouncementSource {
  readonly #post: HostPost

  private constructor (post: HostPost) {
    super()
    this.#post = post
  }

  /**
   * Creates the source; announcements arrive once its routes are added to a router.
   * @example ConnectAnnouncements.create(loop.post)
   */
  static create (post: HostPost): ConnectAnnouncements {
    return new ConnectAnnouncements(post)
  }

  /** Registers the `Announcements` service, which databases call. */
  addRoutes (router: ConnectRouter): void {
    const post = (request: AnnounceRequest): void => this.#post(createAnnounced(request))
    router.service(Announcements, {
      announce: request => {
        post(request)
        return {}
      }
    })
  }

  async [Symbol.asyncDispose] (): Promise<void> {}
}

function createAnnounced (request: AnnounceRequest): DatabaseAnnounced {
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
