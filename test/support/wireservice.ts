/** The desired state that tests over the platform's protocols begin with. */

export const KEY = 'k-parish-1'
export const OTHER_KEY = 'k-school-1'
const POLL_INTERVAL_MS = 50

/** Creates a desired state of one service, two routes and two tenants. */
export const createDesiredState = (version: number, change: object = {}): object => ({
  version,
  routes: [
    { name: 'r1', host: 'orders', path_prefix: '/', type: 'primary', timeout_ms: 2_000, target_latency_ms: 150, priority: 0, service: 'rota', public: false },
    { name: 'r2', host: 'views', path_prefix: '/', type: 'read_your_writes', timeout_ms: 2_000, target_latency_ms: 150, priority: 1, service: 'rota', max_staleness_ms: 2_500, public: false }
  ],
  services: [{ name: 'rota', max_conns: 20, sync_replicas: 0 }],
  limits: { txn_idle_ms: 3_000 },
  tenants: [
    { name: 'parish', api_keys: [KEY], priority: 1, rate_per_s: 500, burst: 500 },
    { name: 'school', api_keys: [OTHER_KEY], priority: 1, rate_per_s: 500, burst: 500 }
  ],
  ...change
})

/** Waits until a condition holds. */
export async function pollUntil (condition: () => Promise<boolean>): Promise<void> {
  while (!await condition()) await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS))
}
