/** The tokenizer for the SQL subset of the stand-in. */

/** One token. */
export interface Token {
  readonly type: 'word' | 'number' | 'string' | 'parameter' | 'symbol'
  readonly text: string
}

const TOKEN_PATTERNS: ReadonlyArray<readonly [Token['type'], RegExp]> = [
  ['string', /^'((?:[^']|'')*)'/],
  ['parameter', /^\$(\d+)/],
  ['number', /^(\d+(?:\.\d+)?)/],
  ['word', /^([A-Za-z_][A-Za-z0-9_.]*|"[^"]+")/],
  ['symbol', /^(<>|!=|<=|>=|::|\|\||[(),;=<>*+-])/]
]
const WHITESPACE_AND_COMMENTS = /^(?:\s+|--[^\n]*|\/\*[\s\S]*?\*\/)+/

/**
 * Splits a text into tokens; skips white space and comments.
 * @example splitTokens("SELECT 1").length // 2
 * @throws SyntaxError at the first character that no token starts with.
 */
export function splitTokens (text: string): readonly Token[] {
  const tokens: Token[] = []
  let rest = text.replace(WHITESPACE_AND_COMMENTS, '')
  while (rest !== '') {
    const match = readToken(rest)
    tokens.push(match.token)
    rest = rest.slice(match.length).replace(WHITESPACE_AND_COMMENTS, '')
  }
  return tokens
}

function readToken (rest: string): { readonly token: Token, readonly length: number } {
  for (const [type, pattern] of TOKEN_PATTERNS) {
    const match = pattern.exec(rest)
    if (match === null) continue
    const raw = match[1]!
    const text = type === 'string' ? raw.replaceAll("''", "'") : type === 'word' ? normalizeWord(raw) : raw
    return { token: { type, text }, length: match[0].length }
  }
  throw new SyntaxError(`syntax error at "${rest.slice(0, 20)}"`)
}

function normalizeWord (raw: string): string {
  return raw.startsWith('"') ? raw.slice(1, -1) : raw.toLowerCase()
}
