/** Processor time and memory of a process, as the system counts them. */
import { readFile } from 'node:fs/promises'

const TICKS_PER_SECOND = 100
const USER_TICKS = 11
const SYSTEM_TICKS = 12
const KB_PER_MB = 1_024

/** What a process has used so far. */
export interface Usage {
  readonly cpuSeconds: number
  readonly residentMb: number
}

/**
 * Reads the usage of a process.
 * @example (await readUsage(process.pid)).residentMb
 */
export async function readUsage (pid: number): Promise<Usage> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const status = await readFile(`/proc/${pid}/status`, 'utf8')
  const residentKb = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0)
  return {
    cpuSeconds: (Number(fields[USER_TICKS]) + Number(fields[SYSTEM_TICKS])) / TICKS_PER_SECOND,
    residentMb: residentKb / KB_PER_MB
  }
}
