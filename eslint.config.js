import { readFileSync } from 'node:fs'
import neostandard from 'neostandard'

const verbsPage = readFileSync(new URL('docs/VERBS.md', import.meta.url), 'utf8')
const VERBS = new Set([...verbsPage.matchAll(/^- `([a-z]+)`/gm)].map(match => match[1]))

/** Functions begin with a verb of docs/VERBS.md. */
const verbRule = {
  meta: { type: 'suggestion', schema: [], messages: { verb: 'Function "{{name}}" does not begin with a verb of docs/VERBS.md.' } },
  create: context => {
    const check = (node, name) => {
      const verb = /^[a-z]+/.exec(name.replace(/^#/, ''))?.[0]
      if (verb === undefined || !VERBS.has(verb)) context.report({ node, messageId: 'verb', data: { name } })
    }
    return {
      FunctionDeclaration: node => check(node, node.id.name),
      'MethodDefinition[kind="method"][computed=false]': node => check(node, node.key.name)
    }
  }
}

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'src/gen/**', 'run/**', 'target/**', 'journal/**'] }),
  {
    plugins: { fulmartally: { rules: { verb: verbRule } } },
    rules: {
      'fulmartally/verb': 'error',
      'no-console': 'error',
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }],
      'no-unused-expressions': 'off'
    }
  },
  {
    files: ['src/cli/**', 'demo/**', 'bench/**', 'examples/**', 'scripts/**', 'standin/main.ts', 'src/daemon/main.ts'],
    rules: { 'no-console': 'off' }
  }
]
