/** CPU time and resident memory of a process, read from /proc. */
import { readFile } from 'node:fs/promises'

/** Unit of the CPU times in /proc/PID/stat: USER_HZ, 100 on Linux. */
const TICKS_PER_SECOND = 100
// Indexes in /proc/PID/stat, counted from the field after the command name.
const USER_TICKS_FIELD = 11
const SYSTEM_TICKS_FIELD = 12
const KB_PER_MB = 1_024

/** CPU time since the start of a process, and its current resident memory. */
export interface Usage {
  readonly cpuSeconds: number
  readonly userSeconds: number
  readonly kernelSeconds: number
  readonly residentMb: number
}

/**
 * Reads the resource usage of a process.
 * @example (await readUsage(process.pid)).residentMb
 */
export async function readUsage (pid: number): Promise<Usage> {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const status = await readFile(`/proc/${pid}/status`, 'utf8')
  const residentKb = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0)
  const userSeconds = Number(fields[USER_TICKS_FIELD]) / TICKS_PER_SECOND
  const kernelSeconds = Number(fields[SYSTEM_TICKS_FIELD]) / TICKS_PER_SECOND
  return {
    cpuSeconds: userSeconds + kernelSeconds,
    userSeconds,
    kernelSeconds,
    residentMb: residentKb / KB_PER_MB
  }
}
