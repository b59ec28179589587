/** The answer to an operator who reads a document. */
import { getOwn } from '../core/own.js'
import type { DocumentsTable } from './table.js'

/**
 * Creates the answer with the text of a document.
 * @example createTextAnswer(table, 'rota') // { service: 'rota', version: 4, text: '{ ... }' }
 */
export function createTextAnswer (table: DocumentsTable, service: string): unknown {
  const record = getOwn(table.services, service)
  if (record === undefined) return { error: 'unknown-service', text: `Service "${service}" is unknown: check its name with list.` }
  return { service, version: record.version, text: record.text }
}
