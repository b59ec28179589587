/** Encodes backend messages of the PostgreSQL protocol. */
import { Writer } from 'pg-protocol/dist/buffer-writer.js'
import type { Failure } from '../../core/errors.js'
import { BACKEND } from '../../databases/postgres/codes.js'
import type { TransactionStatus } from '../../requests/messages.js'

const TEXT_OID = 25
const LETTER_BY_STATUS: Readonly<Record<TransactionStatus, string>> = { idle: 'I', open: 'T', failed: 'E' }
const NOT_RUN_DETAIL = 'not run'

/**
 * Encodes a failure as an ErrorResponse; its detail is "not run" only when that is certain.
 * @example encodeFailure(createFailure('unknown-route', 'x'), 'ERROR')
 */
export function encodeFailure (failure: Failure, severity: 'ERROR' | 'FATAL'): Buffer {
  const writer = new Writer()
  const fields: ReadonlyArray<readonly [string, string | undefined]> = [
    ['S', severity],
    ['V', severity],
    ['C', failure.sqlState],
    ['M', failure.text],
    ['D', failure.effect === 'not-run' ? NOT_RUN_DETAIL : undefined]
  ]
  for (const [code, value] of fields) {
    if (value !== undefined) writer.addString(code).addCString(value)
  }
  return writer.addCString('').flush(BACKEND.error)
}

/**
 * Encodes ReadyForQuery, which ends an answer.
 * @example encodeReady('idle')
 */
export function encodeReady (status: TransactionStatus): Buffer {
  return new Writer().addString(LETTER_BY_STATUS[status]).flush(BACKEND.ready)
}

/**
 * Encodes ParameterStatus.
 * @example encodeParameter('fulmartally.session', 'v1:rota:')
 */
export function encodeParameter (name: string, value: string): Buffer {
  return new Writer().addCString(name).addCString(value).flush(BACKEND.parameterStatus)
}

/**
 * Encodes CommandComplete with a command tag.
 * @example encodeComplete('ROLLBACK')
 */
export function encodeComplete (tag: string): Buffer {
  return new Writer().addCString(tag).flush(BACKEND.commandComplete)
}

/**
 * Encodes a result of one text column and one row, as an answer to SHOW.
 * @example encodeValue('fulmartally.session', 'v1:rota:')
 */
export function encodeValue (column: string, value: string): Buffer {
  const description = new Writer().addInt16(1).addCString(column)
    .addInt32(0).addInt16(0).addInt32(TEXT_OID).addInt16(-1).addInt32(-1).addInt16(0)
    .flush(BACKEND.rowDescription)
  const row = new Writer().addInt16(1).addInt32PrefixedString(value).flush(BACKEND.dataRow)
  return Buffer.concat([description, row, encodeComplete('SHOW')])
}
