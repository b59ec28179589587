/** What the scripts of this review share: a record, a desired state, and the way a script ends. */
import { randomBytes } from 'node:crypto'
import { appendFileSync, writeFileSync } from 'node:fs'

export const KEY = 'k3y0of0the0tenant0one'
export const TENANT = 'tenant-1'
export const ROUTE = 'orders.example'
export const SERVICE = 'ledger'

/** Waits. */
export async function sleep (ms) {
  await new Promise(resolve => setTimeout(resolve, ms))
}

/** Draws a request id. */
export function drawId () {
  return randomBytes(8).toString('hex')
}

/** Opens the record of a script; each line has the milliseconds since its start. */
export function openRecord (file) {
  const startedAtMs = Date.now()
  writeFileSync(file, '')
  return (...words) => {
    const text = words.map(word => (typeof word === 'string' ? word : JSON.stringify(word))).join(' ')
    appendFileSync(file, `${String(Date.now() - startedAtMs).padStart(6)} ${text}\n`)
  }
}

/** Builds a desired state with one route and one tenant. */
export function buildState (version, { type = 'primary', syncReplicas = 0, timeoutMs = 800, staleMs, maxConns = 24 } = {}) {
  return {
    version,
    routes: [{ name: 'r-orders', host: ROUTE, path_prefix: '/', type, timeout_ms: timeoutMs, target_latency_ms: 150, priority: 1, service: SERVICE, max_attempts: 2, public: false, ...(staleMs === undefined ? {} : { max_staleness_ms: staleMs }) }],
    services: [{ name: SERVICE, health_path: '/health', max_conns: maxConns, protocol: 'h1', tls: false, sync_replicas: syncReplicas }],
    limits: { max_header_bytes: 16384, max_body_bytes: 262144, header_timeout_ms: 3000, idle_timeout_ms: 15000, txn_idle_ms: 3000 },
    tenants: [{ name: TENANT, api_keys: [KEY], priority: 1, rate_per_s: 1000, burst: 1000 }]
  }
}

/** The longest that a script runs, in milliseconds. */
const LIMIT_MS = 115_000

/**
 * Runs a scene and ends the process: 1 where the rule was broken, 0 where it held, 2 where the scene could not run, took too
 * long or was ended from outside. `dispose` ends all processes that were started.
 */
export async function runScene (record, scene, dispose) {
  const finish = async code => {
    await dispose()
    record('exit', code)
    process.exit(code)
  }
  const abort = reason => {
    record('could not run:', reason)
    finish(2)
  }
  setTimeout(() => abort('it took too long'), LIMIT_MS).unref()
  for (const signal of ['SIGTERM', 'SIGINT']) process.once(signal, () => abort(signal))
  try {
    await finish(await scene() ? 1 : 0)
  } catch (error) {
    abort(error.stack ?? String(error))
  }
}
