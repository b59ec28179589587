/** The part of the control hosts' log that concerns succession: it outlives each leader. */
import type { SuccessionMessage } from '../messages.js'
import { applyReplicaSetUpdate, type ReplicaSetTable, type UpdateReplicaSetCommand } from '../replicaset.js'
import { applySuccessionCommand, type AppointmentTable, type SuccessionCommand } from '../table.js'

/** Any command that the succession slice proposes. */
export type ProposedCommand = SuccessionCommand | UpdateReplicaSetCommand

/** The tables that committed commands lead to. */
export class TestLog {
  table: AppointmentTable = {}
  replicaSets: ReplicaSetTable = {}

  private constructor () {}

  static create (): TestLog {
    return new TestLog()
  }

  /** Commits a command; returns what the slice is told. */
  commit (command: ProposedCommand): SuccessionMessage {
    if (command.kind === 'succession/replicas') {
      this.replicaSets = applyReplicaSetUpdate(this.replicaSets, command)
      return { kind: 'succession/replicas-applied', group: command.group, replicaSets: this.replicaSets }
    }
    this.table = applySuccessionCommand(this.table, command)
    return { kind: 'succession/applied', command, table: this.table }
  }

  /** Returns what a host is told as it begins to lead. */
  lead (epoch: number): SuccessionMessage {
    return { kind: 'succession/leadership', leads: true, epoch, table: this.table, replicaSets: this.replicaSets }
  }
}
