/** `status`, `drain`, `evacuate` and `primary move`: inspect and operate the running system. */
import { Command } from 'commander'
import type { SystemStatus } from '../membership/operators.js'
import { callHosts, type GlobalOptions } from './call.js'
import { CliError, EXIT } from './exits.js'
import { formatTable } from './table.js'
import type { Terminal } from './terminal.js'

interface StatusOptions extends GlobalOptions {
  readonly control?: boolean
  readonly local?: boolean
}

interface MoveOptions extends GlobalOptions {
  readonly wait?: boolean
}

interface EvacuateOptions extends GlobalOptions {
  readonly end?: boolean
}

interface EvacuateOutcome {
  readonly stranded?: readonly string[]
}

interface MoveOutcome {
  readonly accepted: boolean
  readonly text?: string
}

/** How long to wait for a planned change of a primary, and the interval at which the status is polled. */
const MOVE_TIMEOUT_MS = 15_000
const POLL_INTERVAL_MS = 200

/**
 * Creates the command that shows the status of the system.
 * @example program.addCommand(createStatusCommand(terminal))
 */
export function createStatusCommand (terminal: Terminal): Command {
  return new Command('status')
    .description('Shows hosts, databases, groups, documents and the revision in force.')
    .option('--control', 'show the state of the control group as the given host knows it, as JSON')
    .option('--local', 'show what is in force on the given host, without asking the leader')
    .addHelpText('after', '\nExamples:\n  fulmartally status\n  fulmartally status --local --host 10.0.0.7:6002')
    .action(async (_options: unknown, command: Command) => {
      const options = command.optsWithGlobals<StatusOptions>()
      if (options.control === true) return terminal.write(JSON.stringify(await callHosts(terminal, options, { name: 'control/status' })))
      const status = await callHosts<SystemStatus>(terminal, options, { name: 'status', local: options.local })
      terminal.write(options.json === true ? JSON.stringify(status) : formatStatus(status))
    })
}

/**
 * Creates the command that takes a host out of service.
 * @example program.addCommand(createDrainCommand(terminal))
 */
export function createDrainCommand (terminal: Terminal): Command {
  return new Command('drain')
    .description('Takes a host out of service: it reports that it is not ready, and other hosts take over its databases.')
    .argument('<name>', 'the name of the host')
    .addHelpText('after', '\nExample:\n  fulmartally drain host-3')
    .action(async (host: string, _options: unknown, command: Command) => {
      const options = command.optsWithGlobals<GlobalOptions>()
      const outcome = await callHosts(terminal, options, { name: 'host/drain', host })
      terminal.write(options.json === true ? JSON.stringify(outcome) : `Host ${host} is draining.`)
    })
}

/**
 * Creates the command that begins or ends the evacuation of a failure domain.
 * @example program.addCommand(createEvacuateCommand(terminal))
 */
export function createEvacuateCommand (terminal: Terminal): Command {
  return new Command('evacuate')
    .description('Takes all databases of a failure domain out of use: they get no more requests, and primaries move elsewhere.')
    .argument('<domain>', 'the failure domain')
    .option('--end', 'end the evacuation: the databases are used again')
    .addHelpText('after', '\nExamples:\n  fulmartally evacuate east\n  fulmartally evacuate east --end')
    .action(async (domain: string, _options: unknown, command: Command) => {
      const options = command.optsWithGlobals<EvacuateOptions>()
      const outcome = await callHosts<EvacuateOutcome>(terminal, options, { name: options.end === true ? 'evacuation/end' : 'evacuation/begin', domain })
      terminal.write(options.json === true ? JSON.stringify(outcome) : formatEvacuation(domain, options, outcome))
    })
}

function formatEvacuation (domain: string, { end }: EvacuateOptions, { stranded = [] }: EvacuateOutcome): string {
  if (end === true) return `Failure domain ${domain} is not evacuated.`
  const note = stranded.length === 0 ? '' : ` No database elsewhere serves ${stranded.join(', ')}: requests that need one are refused.`
  return `Failure domain ${domain} is evacuated.${note}`
}

/**
 * Creates the group of commands for primaries.
 * @example program.addCommand(createPrimaryCommand(terminal))
 */
export function createPrimaryCommand (terminal: Terminal): Command {
  const move = new Command('move')
    .description('Makes a database the primary of its group; writes wait until it is promoted, and none is lost.')
    .argument('<group>', 'the group')
    .argument('<database>', 'the next primary')
    .option('--wait', 'wait until the database is the primary')
    .addHelpText('after', '\nExample:\n  fulmartally primary move a a2 --wait')
    .action(async (group: string, database: string, _options: unknown, command: Command) => {
      const options = command.optsWithGlobals<MoveOptions>()
      const outcome = await callHosts<MoveOutcome>(terminal, options, { name: 'primary/move', group, database })
      if (options.json === true) terminal.write(JSON.stringify(outcome))
      if (!outcome.accepted) throw CliError.create(EXIT.refused, outcome.text ?? 'The move was not accepted: see status for the group and its databases.')
      if (options.wait === true) await waitForPrimary(terminal, options, group, database)
      if (options.json !== true) terminal.write(`Group ${group} ${options.wait === true ? 'has moved' : 'moves'} to database ${database}.`)
    })
  return new Command('primary').description('Changes primaries.').addCommand(move)
}

async function waitForPrimary (terminal: Terminal, options: GlobalOptions, group: string, database: string): Promise<void> {
  for (let waitedMs = 0; waitedMs < MOVE_TIMEOUT_MS; waitedMs += POLL_INTERVAL_MS) {
    const status = await callHosts<SystemStatus>(terminal, options, { name: 'status' })
    if (status.groups.some(entry => entry.group === group && entry.primary === database)) return
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS))
  }
  throw CliError.create(EXIT.tryAgain, `Database ${database} is not the primary of group ${group} yet: check it with status.`)
}

/**
 * Formats a status as tables.
 * @example formatStatus(status)
 */
export function formatStatus (status: SystemStatus): string {
  const revision = `${status.revision.epoch}.${status.revision.count}`
  return [
    `Leader ${status.leader ?? 'unknown'}; revision ${revision}, as ${status.host ?? 'a host'} knows it.`,
    formatTable(['host', 'failure domain', 'peers', 'state', 'revision'], status.hosts.map(host =>
      [host.host, host.failureDomain, host.peers, host.draining ? 'draining' : 'serving', host.revision === undefined ? '?' : `${host.revision.epoch}.${host.revision.count}`])),
    ...((status.evacuated ?? []).length === 0 ? [] : [`Evacuated failure domains: ${status.evacuated!.join(', ')}.`]),
    formatTable(['database', 'group', 'failure domain', 'address', 'owner', 'state'], status.databases.map(database =>
      [database.database, database.group, database.failureDomain, database.address, database.owner ?? '-', describeDatabase(database)])),
    formatTable(['group', 'primary', 'term', 'members'], status.groups.map(group =>
      [group.group, group.primary ?? '(changing)', String(group.term), group.members.join(' ')])),
    formatTable(['service', 'version'], status.documents.map(document => [document.service, String(document.version)]))
  ].join('\n\n')
}

function describeDatabase ({ departing, evacuated }: SystemStatus['databases'][number]): string {
  if (departing) return 'departing'
  return evacuated === true ? 'evacuated' : 'serving'
}
