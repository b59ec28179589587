/** Reads what a statement's text says to fulmartally: its leading comments and its first words. */
import type { Intent } from '../../requests/messages.js'

/** What the text of a statement declares. */
export interface Statement {
  readonly intent: Intent
  readonly route?: string
  readonly requestId?: string
  readonly deadlineMs?: number
  /** Set when the statement changes a setting of the caller's connection. */
  readonly setting?: Setting
  /** Set when the statement needs a connection of its own, which transaction pooling does not give. */
  readonly unsupported?: string
}

/** A statement that sets or shows a setting of fulmartally's own. */
export interface Setting {
  readonly name: string
  /** The new value; undefined for SHOW. */
  readonly value?: string
}

const COMMENT = /^\s*(?:--[^\n]*(?:\n|$)|\/\*([\s\S]*?)\*\/)/
const TAG = /([A-Za-z_]+)='((?:[^'\\]|\\.)*)'/g
const SETTING = /^set\s+(?:session\s+)?fulmartally\.([a-z_]+)\s*(?:=|\s+to\s)\s*'?([^';]*)'?\s*;?\s*$/i
const SHOW = /^show\s+fulmartally\.([a-z_]+)\s*;?\s*$/i
const BEGIN = /^(?:begin|start\s+transaction)\b/i
const READ_ONLY = /\bread\s+only\b/i
const COMMIT = /^(?:commit|end)\b(?!\s+prepared)/i
const ROLLBACK = /^(?:rollback|abort)\b(?!\s+(?:to|prepared|work\s+to|transaction\s+to))/i
const UNSUPPORTED = /^(listen|unlisten|notify|copy|declare|fetch|move|prepare|execute|deallocate|discard|load|lock\s+table|vacuum|create\s+temp(?:orary)?\s|commit\s+prepared|rollback\s+prepared)\b/i
const SESSION_SET = /^(?:set(?!\s+(?:local|transaction|constraints)\b)|reset)\b/i

/**
 * Reads the declarations of a statement.
 * @example readStatement("/*route='slots.view'*\/ SELECT 1").route // 'slots.view'
 */
export function readStatement (text: string): Statement {
  const { tags, rest } = splitComments(text)
  const deadline = Number(tags.get('deadline_ms'))
  return {
    intent: readIntent(rest),
    route: tags.get('route'),
    requestId: tags.get('request'),
    deadlineMs: Number.isFinite(deadline) && deadline > 0 ? deadline : undefined,
    setting: readSetting(rest),
    unsupported: readUnsupported(rest)
  }
}

function splitComments (text: string): { readonly tags: ReadonlyMap<string, string>, readonly rest: string } {
  const tags = new Map<string, string>()
  let rest = text
  for (let match = COMMENT.exec(rest); match !== null; match = COMMENT.exec(rest)) {
    for (const [, name, value] of (match[1] ?? '').matchAll(TAG)) tags.set(name!, decodeTag(value!))
    rest = rest.slice(match[0].length)
  }
  return { tags, rest: rest.trim() }
}

function decodeTag (value: string): string {
  const plain = value.replace(/\\(.)/g, '$1')
  try {
    return decodeURIComponent(plain)
  } catch {
    return plain
  }
}

function readIntent (rest: string): Intent {
  if (BEGIN.test(rest)) return READ_ONLY.test(rest) ? 'begin-read-only' : 'begin'
  if (COMMIT.test(rest)) return 'commit'
  return ROLLBACK.test(rest) ? 'rollback' : 'statement'
}

function readSetting (rest: string): Setting | undefined {
  const set = SETTING.exec(rest)
  if (set !== null) return { name: set[1]!.toLowerCase(), value: set[2]!.trim() }
  const show = SHOW.exec(rest)
  return show === null ? undefined : { name: show[1]!.toLowerCase() }
}

function readUnsupported (rest: string): string | undefined {
  const match = UNSUPPORTED.exec(rest)
  if (match !== null) return match[1]!.toUpperCase().replace(/\s+/g, ' ').trim()
  return SESSION_SET.test(rest) && readSetting(rest) === undefined ? 'A setting for the whole session' : undefined
}
