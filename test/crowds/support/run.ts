/** What has to hold when a crowd meets a deployment. */
import { Crowd, type ClientBehaviour } from './crowd.js'

/** A deployment of processes under test. */
export interface Site extends AsyncDisposable {
  /** Asks for something as an ordinary caller does until it is answered. */
  readonly askOrdinary: () => Promise<void>
  /** Fails if a process ended, or used more than it may. */
  readonly checkSound: () => Promise<void>
  /** What the processes used at most so far. */
  readonly describeUse: () => string
}

/** Starts a deployment, and runs a crowd against one of its addresses. */
export async function runCrowd<Started extends Site> (create: () => Promise<Started>, selectAddress: (site: Started) => string, count: number, behaviour: ClientBehaviour): Promise<void> {
  await using site = await create()
  await runCrowdAt(site, selectAddress(site), count, behaviour)
}

/** Runs a crowd against a deployment: an ordinary caller is served beside it and after it, and the processes stay within their limits. */
export async function runCrowdAt (site: Site, address: string, count: number, behaviour: ClientBehaviour): Promise<void> {
  const crowd = await Crowd.create(address, count, behaviour)
  try {
    await site.checkSound()
    await site.askOrdinary()
  } finally {
    await crowd[Symbol.asyncDispose]()
    if (process.env.CROWD_USE !== undefined) process.stdout.write(`      ${site.describeUse()}\n`)
  }
  await site.askOrdinary()
  await site.checkSound()
}
