/** Parses the startup parameter `options`. */

/**
 * Returns the value of a `-c name=value` option.
 * @example readOption('-c fulmartally.session=v1:rota:', 'fulmartally.session') // 'v1:rota:'
 */
export function readOption (options: string, name: string): string | undefined {
  const words = options.split(/\s+/)
  const prefix = `${name}=`
  for (const [index, word] of words.entries()) {
    const assignment = word === '-c' ? words[index + 1] ?? '' : word.startsWith('-c') ? word.slice(2) : word.startsWith('--') ? word.slice(2) : ''
    if (assignment.startsWith(prefix)) return assignment.slice(prefix.length)
  }
  return undefined
}
