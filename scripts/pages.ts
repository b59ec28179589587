/** Pages of the docs that are generated from the code. */
import { createFailure, listErrorCodes } from '../src/core/errors.js'
import { ServiceDocumentSchema } from '../src/documents/document.js'
import { SettingsSchema } from '../src/settings/settings.js'
import { createJsonSchema } from './jsonschema.js'
import type * as v from 'valibot'

/** A generated file under docs, with its content. */
export interface Page {
  readonly file: string
  readonly text: string
}

/**
 * Creates all generated pages.
 * @example createPages().map(page => page.file)
 */
export function createPages (): readonly Page[] {
  return [
    { file: 'settings.schema.json', text: renderSchema('Settings of a host of fulmartally', SettingsSchema) },
    { file: 'document.schema.json', text: renderSchema('Document of a service', ServiceDocumentSchema) },
    { file: 'ERRORS.md', text: renderErrors() }
  ]
}

function renderSchema (title: string, schema: v.GenericSchema): string {
  const jsonSchema = { $schema: 'http://json-schema.org/draft-07/schema#', title, ...createJsonSchema(schema) }
  return `${JSON.stringify(jsonSchema, undefined, 2)}\n`
}

function renderErrors (): string {
  const rows = listErrorCodes().map(code => {
    const { sqlState, effect, text } = createFailure(code, '…')
    return `| \`${code}\` | ${sqlState} | ${effect === 'not-run' ? 'not run' : 'unknown'} | ${text} |`
  })
  return `# Errors

Every error that a caller may see. The detail of an error says "not run" only where that is certain; such a request may be sent again. Where the effect is unknown, the request may have run. This page is written by \`npm run pages\` from \`src/core/errors.ts\`. What an operator does about them stands in [OPERATIONS.md](OPERATIONS.md).

| code | SQLSTATE | effect | text |
|---|---|---|---|
${rows.join('\n')}
`
}
