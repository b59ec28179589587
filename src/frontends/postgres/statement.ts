/** Parses what a statement's text tells the proxy: tags in its leading comments, and its first keywords. */
import type { Intent } from '../../requests/messages.js'
import { splitStatements, type SplitStatement } from './split.js'

/** The properties of a statement that the proxy derives from its text. */
export interface Statement {
  readonly intent: Intent
  readonly route?: string
  readonly requestId?: string
  readonly deadlineMs?: number
  /** Set when the statement sets or shows one of fulmartally's own settings. */
  readonly setting?: Setting
  /** Names what needs a dedicated connection, which transaction pooling cannot provide. */
  readonly unsupported?: string
}

/** A SET or SHOW of one of fulmartally's own settings. */
export interface Setting {
  readonly name: string
  /** The new value; undefined for SHOW. */
  readonly value?: string
}

/** Longer comments are not searched for tags, nor longer statements for settings: the patterns take more than linear time. */
const MAX_TAG_COMMENT_LENGTH = 4_096
const MAX_SETTING_STATEMENT_LENGTH = 10_000
const TAG_PATTERN = /([A-Za-z_]+)='((?:[^'\\]|\\.)*)'/g
const SET_PATTERN = /^set\s+(?:session\s+)?fulmartally\.([a-z_]+)\s*(?:=|\s+to\s)\s*'?([^';]*)'?\s*;?\s*$/i
const SHOW_PATTERN = /^show\s+fulmartally\.([a-z_]+)\s*;?\s*$/i
const BEGIN_PATTERN = /^(?:begin|start\s+transaction)\b/i
const READ_ONLY_PATTERN = /\bread\s+only\b/i
const COMMIT_PATTERN = /^(?:commit|end)\b(?!\s+prepared)/i
const ROLLBACK_PATTERN = /^(?:rollback|abort)\b(?!\s+(?:to|prepared|work\s+to|transaction\s+to))/i
const UNSUPPORTED_PATTERN = /^(listen|unlisten|notify|copy|declare|fetch|move|prepare|execute|deallocate|discard|load|lock\s+table|vacuum|create\s+(?:global\s+|local\s+)?temp(?:orary)?(?=\s)|commit\s+prepared|rollback\s+prepared)\b/i
const SESSION_SET_PATTERN = /^(?:set(?!\s+(?:local|transaction|constraints)\b)|reset)\b/i

// Calls whose effect outlives the transaction would affect the next caller on the pooled connection.
const SESSION_FUNCTION_PATTERN = /\b(?:set_config\s*\([^;]{0,500},\s*(?:false|'f(?:alse)?'|'off'|'no'|'0')\s*\)|pg_(?:try_)?advisory_lock(?:_shared)?\s*\()/i
const WORKSPACE_SETTING_PATTERN = /\bfulmartally\s*\.\s*workspace\b/i

/**
 * Parses an SQL text: the tags and intent of its first statement, and what is unsupported in any of them.
 * @example parseStatement("/*route='slots.view'*\/ SELECT 1").route // 'slots.view'
 */
export function parseStatement (text: string): Statement {
  return mergeStatements(splitStatements(text).map(parseSplitStatement))
}

/**
 * Merges statements that run as one request. Several statements never count as a mere COMMIT or
 * ROLLBACK: if the transaction is already lost, those are answered locally and the others would be skipped.
 * @example mergeStatements([{ intent: 'begin' }, { intent: 'statement' }]).intent // 'begin'
 */
export function mergeStatements (statements: readonly Statement[]): Statement {
  const [first] = statements
  if (first === undefined) return { intent: 'statement' }
  const unsupported = statements.map(statement => statement.unsupported).find(detail => detail !== undefined)
  if (statements.length === 1) return first
  const setting = statements.some(statement => statement.setting !== undefined) ? 'A setting of fulmartally among other statements' : undefined
  const begins = first.intent === 'begin' || first.intent === 'begin-read-only'
  return { ...first, intent: begins ? first.intent : 'statement', setting: undefined, unsupported: unsupported ?? setting }
}

function parseSplitStatement ({ comments, text }: SplitStatement): Statement {
  const tags = new Map(comments.filter(comment => comment.length <= MAX_TAG_COMMENT_LENGTH).flatMap(comment => [...comment.matchAll(TAG_PATTERN)].map(([, name, value]) => [name!, decodeTag(value!)] as const)))
  const deadline = Number(tags.get('deadline_ms'))
  return {
    intent: parseIntent(text),
    route: tags.get('route'),
    requestId: tags.get('request'),
    deadlineMs: Number.isFinite(deadline) && deadline > 0 ? deadline : undefined,
    setting: parseSetting(text),
    unsupported: findUnsupported(text)
  }
}

function decodeTag (value: string): string {
  const unescaped = value.replace(/\\(.)/g, '$1')
  try {
    return decodeURIComponent(unescaped)
  } catch {
    return unescaped
  }
}

function parseIntent (text: string): Intent {
  if (BEGIN_PATTERN.test(text)) return READ_ONLY_PATTERN.test(text) ? 'begin-read-only' : 'begin'
  if (COMMIT_PATTERN.test(text)) return 'commit'
  return ROLLBACK_PATTERN.test(text) ? 'rollback' : 'statement'
}

function parseSetting (text: string): Setting | undefined {
  if (text.length > MAX_SETTING_STATEMENT_LENGTH) return undefined
  const set = SET_PATTERN.exec(text)
  if (set !== null) return { name: set[1]!.toLowerCase(), value: set[2]!.trim() }
  const show = SHOW_PATTERN.exec(text)
  return show === null ? undefined : { name: show[1]!.toLowerCase() }
}

function findUnsupported (text: string): string | undefined {
  const match = UNSUPPORTED_PATTERN.exec(text)
  if (match !== null) return match[1]!.toUpperCase().replace(/\s+/g, ' ').trim()
  if (WORKSPACE_SETTING_PATTERN.test(text)) return 'Setting "fulmartally.workspace" in a statement'
  if (SESSION_FUNCTION_PATTERN.test(text)) return 'A function that changes the whole session'
  return SESSION_SET_PATTERN.test(text) && parseSetting(text) === undefined ? 'A setting for the whole session' : undefined
}
