/** Lines of the wire protocol: words and fields, separated by blanks, that end with CR LF. */

/** Calls back with each line of a socket. */
export function readLines (socket, onLine) {
  let rest = ''
  socket.setEncoding('utf8')
  socket.on('data', chunk => {
    const lines = (rest + chunk).split('\r\n')
    rest = lines.pop()
    for (const line of lines) onLine(line)
  })
}

/** Splits a line into at most `count` fields; the last one extends to its end. */
export function splitFields (line, count) {
  const parts = line.split(' ')
  return parts.length <= count ? parts : [...parts.slice(0, count - 1), parts.slice(count - 1).join(' ')]
}
