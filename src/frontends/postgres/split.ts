/** Splits a text into its statements, at semicolons outside of quotes and comments. */

/** One statement of a text. */
export interface SplitStatement {
  /** The block comments before its first word. */
  readonly comments: readonly string[]
  /** The statement with each comment replaced by a space. */
  readonly text: string
}

const SPACES = /\s+/y
const LINE_COMMENT = /--[^\n]*/y
const COMMENT_EDGE = /\/\*|\*\//g
const STRING = /'[^']*'/y
const ESCAPE_STRING = /[eE]'(?:[^'\\]|\\[\s\S])*'/y
const QUOTED_NAME = /"[^"]*"/y
const DOLLAR_TAG = /\$(?:[A-Za-z_\u0080-\uffff][A-Za-z0-9_\u0080-\uffff]*)?\$/y
const WORD = /[A-Za-z0-9_\u0080-\uffff$]+/y

/**
 * Splits a text into its statements; empty ones are left out.
 * @example splitStatements("SELECT ';'; COMMIT").length // 2
 */
export function splitStatements (text: string): readonly SplitStatement[] {
  const statements: SplitStatement[] = []
  let comments: string[] = []
  let parts: string[] = []
  let begun = false
  const end = (): void => {
    const joined = parts.join('').trim()
    if (joined !== '') statements.push({ comments, text: joined })
    comments = []
    parts = []
  }
  for (let offset = 0; offset < text.length;) {
    const next = findEnd(text, offset)
    const part = text.slice(offset, next)
    const comment = part.startsWith('--') || part.startsWith('/*')
    if (part.startsWith('/*') && !begun) comments.push(part)
    if (part === ';') end()
    else parts.push(comment ? ' ' : part)
    begun = part !== ';' && (begun || !(comment || part.trim() === ''))
    offset = next
  }
  end()
  return statements
}

// What is not closed reaches to the end of the text: the database refuses it whole.
function findEnd (text: string, offset: number): number {
  const character = text[offset]!
  if (text.startsWith('/*', offset)) return findCommentEnd(text, offset)
  if (character === '$') return findDollarEnd(text, offset)
  if (character === "'") return findPatternEnd(STRING, text, offset) ?? text.length
  if (character === '"') return findPatternEnd(QUOTED_NAME, text, offset) ?? text.length
  if (/[eE]/.test(character) && text[offset + 1] === "'") return findPatternEnd(ESCAPE_STRING, text, offset) ?? text.length
  return findPatternEnd(LINE_COMMENT, text, offset) ?? findPatternEnd(WORD, text, offset) ?? findPatternEnd(SPACES, text, offset) ?? offset + 1
}

function findCommentEnd (text: string, offset: number): number {
  let depth = 0
  COMMENT_EDGE.lastIndex = offset
  for (let edge = COMMENT_EDGE.exec(text); edge !== null; edge = COMMENT_EDGE.exec(text)) {
    depth += edge[0] === '/*' ? 1 : -1
    if (depth === 0) return edge.index + edge[0].length
  }
  return text.length
}

function findDollarEnd (text: string, offset: number): number {
  const tagEnd = findPatternEnd(DOLLAR_TAG, text, offset)
  if (tagEnd === undefined) return offset + 1
  const tag = text.slice(offset, tagEnd)
  const close = text.indexOf(tag, tagEnd)
  return close < 0 ? text.length : close + tag.length
}

function findPatternEnd (pattern: RegExp, text: string, offset: number): number | undefined {
  pattern.lastIndex = offset
  return pattern.test(text) ? pattern.lastIndex : undefined
}
