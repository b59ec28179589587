/** Splits a statement of the stand-in's small SQL into tokens. */

/** One token. */
export interface Token {
  readonly type: 'word' | 'number' | 'string' | 'parameter' | 'symbol'
  readonly text: string
}

const PATTERNS: ReadonlyArray<readonly [Token['type'], RegExp]> = [
  ['string', /^'((?:[^']|'')*)'/],
  ['parameter', /^\$(\d+)/],
  ['number', /^(\d+(?:\.\d+)?)/],
  ['word', /^([A-Za-z_][A-Za-z0-9_.]*|"[^"]+")/],
  ['symbol', /^(<>|!=|<=|>=|::|\|\||[(),;=<>*+-])/]
]
const SKIPPED = /^(?:\s+|--[^\n]*|\/\*[\s\S]*?\*\/)+/

/**
 * Splits a text into tokens; comments are left out.
 * @example splitTokens("SELECT 1").length // 2
 * @throws SyntaxError at the first character that starts no token.
 */
export function splitTokens (text: string): readonly Token[] {
  const tokens: Token[] = []
  let rest = text.replace(SKIPPED, '')
  while (rest !== '') {
    const token = readToken(rest)
    tokens.push(token.token)
    rest = rest.slice(token.length).replace(SKIPPED, '')
  }
  return tokens
}

function readToken (rest: string): { readonly token: Token, readonly length: number } {
  for (const [type, pattern] of PATTERNS) {
    const match = pattern.exec(rest)
    if (match === null) continue
    const raw = match[1]!
    const text = type === 'string' ? raw.replaceAll("''", "'") : type === 'word' ? readWord(raw) : raw
    return { token: { type, text }, length: match[0].length }
  }
  throw new SyntaxError(`syntax error at "${rest.slice(0, 20)}"`)
}

function readWord (raw: string): string {
  return raw.startsWith('"') ? raw.slice(1, -1) : raw.toLowerCase()
}
