/** Crowds at the HTTP servers for operators and databases. */
import type { ClientBehaviour } from './support/crowd.js'
import { LineSite } from './support/linesite.js'
import { runCrowd } from './support/run.js'

const CONNECTIONS = 400
const SENDERS = 12
const BODIES = 20
const BODY_BYTES = 2_000_000
/** An array of numbers: small as text, large once parsed; it is no configuration. */
const LEGAL_BODY = Buffer.from(`[${'0,'.repeat(BODY_BYTES / 2)}0]`)
const OVERLONG_BYTES = 100_000_000
const OVERLONG_PART = Buffer.alloc(1_000_000, 'x')
const PIECE_BYTES = 4_096
const CALLS_AHEAD = 5_000

const formatHead = (path: string, bytes: number): string => `POST ${path} HTTP/1.1\r\nhost: h\r\ncontent-type: application/json\r\ncontent-length: ${bytes}\r\n\r\n`

const SERVERS = [
  { name: 'of operators and databases', path: '/-/config/put', selectAddress: (site: LineSite) => site.control },
  { name: 'of commands', path: '/fulmartally.v1.Operators/Operate', selectAddress: (site: LineSite) => site.operators[1]! }
]

for (const { name, path, selectAddress } of SERVERS) {
  describe(`a crowd at the HTTP server ${name}`, () => {
    const runAtServer = async (count: number, behaviour: ClientBehaviour): Promise<void> => await runCrowd(async () => await LineSite.create(), selectAddress, count, behaviour)

    it(`sends many bodies of legal size at once ${name}`, async () => {
      const send: ClientBehaviour['send'] = async connection => {
        for (let sent = 0; sent < BODIES; sent++) await connection.write(Buffer.concat([Buffer.from(formatHead(path, LEGAL_BODY.length)), LEGAL_BODY]))
      }
      await runAtServer(SENDERS, { reads: true, send })
    })

    it(`sends many bodies of legal size in small pieces ${name}`, async () => {
      const send: ClientBehaviour['send'] = async connection => {
        for (let sent = 0; sent < BODIES; sent++) await connection.writePieces(Buffer.concat([Buffer.from(formatHead(path, LEGAL_BODY.length)), LEGAL_BODY]), PIECE_BYTES)
      }
      await runAtServer(SENDERS, { reads: true, send })
    })

    it(`sends bodies far over the limit ${name}`, async () => {
      const send: ClientBehaviour['send'] = async connection => {
        await connection.write(formatHead(path, OVERLONG_BYTES))
        for (let sent = 0; sent < OVERLONG_BYTES; sent += OVERLONG_PART.length) await connection.write(OVERLONG_PART)
      }
      await runAtServer(SENDERS, { reads: true, send })
    })

    it(`sends calls ahead without reading the answers ${name}`, async () => {
      const send: ClientBehaviour['send'] = async connection => await connection.write('GET /-/config/get HTTP/1.1\r\nhost: h\r\n\r\n'.repeat(CALLS_AHEAD))
      await runAtServer(SENDERS, { reads: false, send })
    })

    it(`opens connections without a call ${name}`, async () => {
      await runAtServer(CONNECTIONS, { reads: true, returns: true, send: async connection => await connection.write('') })
    })

    it(`stops half-way in the headers ${name}`, async () => {
      await runAtServer(CONNECTIONS, { reads: true, returns: true, send: async connection => await connection.write(`POST ${path} HTTP/1.1\r\nhost:`) })
    })

    it(`stops half-way in bodies of unstated length ${name}`, async () => {
      const head = `POST ${path} HTTP/1.1\r\nhost: h\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n`
      const part = Buffer.concat([Buffer.from(`${head}${LEGAL_BODY.length.toString(16)}\r\n`), LEGAL_BODY])
      await runAtServer(CONNECTIONS, { reads: true, returns: true, send: async connection => await connection.write(part) })
    })

    it(`stops half-way in the body ${name}`, async () => {
      const half = LEGAL_BODY.subarray(0, BODY_BYTES / 2)
      await runAtServer(CONNECTIONS, { reads: true, returns: true, send: async connection => await connection.write(Buffer.concat([Buffer.from(formatHead(path, LEGAL_BODY.length)), half])) })
    })
  })
}
