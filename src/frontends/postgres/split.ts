/** Splits SQL text into statements at the semicolons outside quotes and comments. */

/** One statement of an SQL text. */
export interface SplitStatement {
  /** The block comments before its first word. */
  readonly comments: readonly string[]
  /** The statement with each comment replaced by a space. */
  readonly text: string
}

const SPACES = /\s+/y
const LINE_COMMENT = /--[^\n]*/y
const COMMENT_DELIMITER = /\/\*|\*\//g
const STRING = /'[^']*'/y
const ESCAPE_STRING = /[eE]'(?:[^'\\]|\\[\s\S])*'/y
const QUOTED_NAME = /"[^"]*"/y
const DOLLAR_TAG = /\$(?:[A-Za-z_\u0080-\uffff][A-Za-z0-9_\u0080-\uffff]*)?\$/y
const WORD = /[A-Za-z0-9_\u0080-\uffff$]+/y

/**
 * Splits SQL text into statements; empty statements are omitted.
 * @example splitStatements("SELECT ';'; COMMIT").length // 2
 */
export function splitStatements (text: string): readonly SplitStatement[] {
  const statements: SplitStatement[] = []
  let comments: string[] = []
  let parts: string[] = []
  let statementStarted = false
  const end = (): void => {
    const joined = parts.join('').trim()
    if (joined !== '') statements.push({ comments, text: joined })
    comments = []
    parts = []
  }
  for (let offset = 0; offset < text.length;) {
    const tokenEnd = findTokenEnd(text, offset)
    const token = text.slice(offset, tokenEnd)
    const isComment = token.startsWith('--') || token.startsWith('/*')
    if (token.startsWith('/*') && !statementStarted) comments.push(token)
    if (token === ';') end()
    else parts.push(isComment ? ' ' : token)
    statementStarted = token !== ';' && (statementStarted || !(isComment || token.trim() === ''))
    offset = tokenEnd
  }
  end()
  return statements
}

// An unclosed quote or comment extends to the end of the text; the database refuses such a text as a whole.
function findTokenEnd (text: string, offset: number): number {
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
  COMMENT_DELIMITER.lastIndex = offset
  for (let delimiter = COMMENT_DELIMITER.exec(text); delimiter !== null; delimiter = COMMENT_DELIMITER.exec(text)) {
    depth += delimiter[0] === '/*' ? 1 : -1
    if (depth === 0) return delimiter.index + delimiter[0].length
  }
  return text.length
}

function findDollarEnd (text: string, offset: number): number {
  const tagEnd = findPatternEnd(DOLLAR_TAG, text, offset)
  if (tagEnd === undefined) return offset + 1
  const tag = text.slice(offset, tagEnd)
  const closingTag = text.indexOf(tag, tagEnd)
  return closingTag < 0 ? text.length : closingTag + tag.length
}

function findPatternEnd (pattern: RegExp, text: string, offset: number): number | undefined {
  pattern.lastIndex = offset
  return pattern.test(text) ? pattern.lastIndex : undefined
}
