/** Reads what a statement's text says to fulmartally: its leading comments and its first words. */
import type { Intent } from '../../requests/messages.js'
import { splitStatements, type SplitStatement } from './split.js'

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

/** Longer comments hold no tags, and longer statements no settings: their patterns take more than linear time. */
const MAX_TAGS_LENGTH = 4_096
const MAX_SETTING_LENGTH = 10_000
const TAG = /([A-Za-z_]+)='((?:[^'\\]|\\.)*)'/g
const SETTING = /^set\s+(?:session\s+)?fulmartally\.([a-z_]+)\s*(?:=|\s+to\s)\s*'?([^';]*)'?\s*;?\s*$/i
const SHOW = /^show\s+fulmartally\.([a-z_]+)\s*;?\s*$/i
const BEGIN = /^(?:begin|start\s+transaction)\b/i
const READ_ONLY = /\bread\s+only\b/i
const COMMIT = /^(?:commit|end)\b(?!\s+prepared)/i
const ROLLBACK = /^(?:rollback|abort)\b(?!\s+(?:to|prepared|work\s+to|transaction\s+to))/i
const UNSUPPORTED = /^(listen|unlisten|notify|copy|declare|fetch|move|prepare|execute|deallocate|discard|load|lock\s+table|vacuum|create\s+(?:global\s+|local\s+)?temp(?:orary)?(?=\s)|commit\s+prepared|rollback\s+prepared)\b/i
const SESSION_SET = /^(?:set(?!\s+(?:local|transaction|constraints)\b)|reset)\b/i

// Functions whose effect outlives the transaction would reach the next user of the connection.
const SESSION_CALL = /\b(?:set_config\s*\([^;]{0,500},\s*(?:false|'f(?:alse)?'|'off'|'no'|'0')\s*\)|pg_(?:try_)?advisory_lock(?:_shared)?\s*\()/i
const WORKSPACE_SETTING = /\bfulmartally\s*\.\s*workspace\b/i

/**
 * Reads the declarations of a text: the first statement's tags and intent, and what any of them needs.
 * @example readStatement("/*route='slots.view'*\/ SELECT 1").route // 'slots.view'
 */
export function readStatement (text: string): Statement {
  return mergeStatements(splitStatements(text).map(readOne))
}

/**
 * Merges statements that run as one request. Several are never taken for the bare end of a
 * transaction, so that none of them is passed over when the transaction is already lost.
 * @example mergeStatements([{ intent: 'begin' }, { intent: 'statement' }]).intent // 'begin'
 */
export function mergeStatements (statements: readonly Statement[]): Statement {
  const [first] = statements
  if (first === undefined) return { intent: 'statement' }
  const unsupported = statements.map(statement => statement.unsupported).find(found => found !== undefined)
  if (statements.length === 1) return first
  const setting = statements.some(statement => statement.setting !== undefined) ? 'A setting of fulmartally among other statements' : undefined
  const begins = first.intent === 'begin' || first.intent === 'begin-read-only'
  return { ...first, intent: begins ? first.intent : 'statement', setting: undefined, unsupported: unsupported ?? setting }
}

function readOne ({ comments, text }: SplitStatement): Statement {
  const tags = new Map(comments.filter(comment => comment.length <= MAX_TAGS_LENGTH).flatMap(comment => [...comment.matchAll(TAG)].map(([, name, value]) => [name!, decodeTag(value!)] as const)))
  const deadline = Number(tags.get('deadline_ms'))
  return {
    intent: readIntent(text),
    route: tags.get('route'),
    requestId: tags.get('request'),
    deadlineMs: Number.isFinite(deadline) && deadline > 0 ? deadline : undefined,
    setting: readSetting(text),
    unsupported: readUnsupported(text)
  }
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
  if (rest.length > MAX_SETTING_LENGTH) return undefined
  const set = SETTING.exec(rest)
  if (set !== null) return { name: set[1]!.toLowerCase(), value: set[2]!.trim() }
  const show = SHOW.exec(rest)
  return show === null ? undefined : { name: show[1]!.toLowerCase() }
}

function readUnsupported (rest: string): string | undefined {
  const match = UNSUPPORTED.exec(rest)
  if (match !== null) return match[1]!.toUpperCase().replace(/\s+/g, ' ').trim()
  if (WORKSPACE_SETTING.test(rest)) return 'Setting "fulmartally.workspace" in a statement'
  if (SESSION_CALL.test(rest)) return 'A function that changes the whole session'
  return SESSION_SET.test(rest) && readSetting(rest) === undefined ? 'A setting for the whole session' : undefined
}
