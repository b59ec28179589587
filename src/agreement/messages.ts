/** Messages of the agreement slice. */
import type { CatalogCommand } from './catalog.js'

/** The process has started; the control hosts are those of its settings. */
export interface Started {
  readonly kind: 'agreement/started'
  readonly self: string
  readonly control: readonly string[]
}

/** A slice of the leader wants a command in the log. */
export interface Propose {
  readonly kind: 'agreement/propose'
  /** Chosen by the proposing slice; comes back when the command is applied. */
  readonly proposal: string
  readonly command: CatalogCommand
}

/** Any message of the agreement slice. */
export type AgreementMessage = Started | Propose
