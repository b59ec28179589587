/** `status`, `drain` and `primary move`: the running system. */
import { Command } from 'commander'
import type { SystemStatus } from '../membership/operators.js'
import { callHosts, type GlobalOptions } from './call.js'
import { formatTable } from './table.js'
import type { Terminal } from './terminal.js'

interface StatusOptions extends GlobalOptions {
  readonly local?: boolean
}

/**
 * Creates the command that shows the system.
 * @example program.addCommand(createStatusCommand(terminal))
 */
export function createStatusCommand (terminal: Terminal): Command {
  return new Command('status')
    .description('Shows hosts, databases, groups, documents and the revision in force.')
    .option('--local', 'what the named host has in force, without asking the leader')
    .addHelpText('after', '\nExamples:\n  fulmartally status\n  fulmartally status --local --host 10.0.0.7:6002')
    .action(async (_options: unknown, command: Command) => {
      const options = command.optsWithGlobals<StatusOptions>()
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
    .description('Takes a host out of service: it says that it is not ready, and its databases pass to other hosts.')
    .argument('<name>', 'the name of the host')
    .addHelpText('after', '\nExample:\n  fulmartally drain host-3')
    .action(async (host: string, _options: unknown, command: Command) => {
      const options = command.optsWithGlobals<GlobalOptions>()
      const outcome = await callHosts(terminal, options, { name: 'host/drain', host })
      terminal.write(options.json === true ? JSON.stringify(outcome) : `Host ${host} is draining.`)
    })
}

/**
 * Creates the group of commands about primaries.
 * @example program.addCommand(createPrimaryCommand(terminal))
 */
export function createPrimaryCommand (terminal: Terminal): Command {
  const move = new Command('move')
    .description('Makes a database the primary of its group; writes wait meanwhile, and none is lost.')
    .argument('<group>', 'the group')
    .argument('<database>', 'the next primary')
    .addHelpText('after', '\nExample:\n  fulmartally primary move a a2')
    .action(async (group: string, database: string, _options: unknown, command: Command) => {
      const options = command.optsWithGlobals<GlobalOptions>()
      const outcome = await callHosts(terminal, options, { name: 'primary/move', group, database })
      terminal.write(options.json === true ? JSON.stringify(outcome) : `Database ${database} is the primary of group ${group}.`)
    })
  return new Command('primary').description('Changes primaries.').addCommand(move)
}

/**
 * Writes a status as tables.
 * @example formatStatus(status)
 */
export function formatStatus (status: SystemStatus): string {
  const revision = `${status.revision.epoch}.${status.revision.count}`
  return [
    `Leader ${status.leader ?? 'unknown'}; revision ${revision}, as ${status.host ?? 'a host'} knows it.`,
    formatTable(['host', 'failure domain', 'peers', 'state', 'revision'], status.hosts.map(host =>
      [host.host, host.failureDomain, host.peers, host.draining ? 'draining' : 'serving', host.revision === undefined ? '?' : `${host.revision.epoch}.${host.revision.count}`])),
    formatTable(['database', 'group', 'failure domain', 'address', 'owner', 'state'], status.databases.map(database =>
      [database.database, database.group, database.failureDomain, database.address, database.owner ?? '-', database.departing ? 'departing' : 'serving'])),
    formatTable(['group', 'primary', 'term', 'members'], status.groups.map(group =>
      [group.group, group.primary ?? '(changing)', String(group.term), group.members.join(' ')])),
    formatTable(['service', 'version'], status.documents.map(document => [document.service, String(document.version)]))
  ].join('\n\n')
}
