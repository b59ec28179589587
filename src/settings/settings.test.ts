import { readFile } from 'node:fs/promises'
import { expect } from 'chai'
import { parseDocument } from '../documents/document.js'
import { parseSettings } from './settings.js'

const VALID_SETTINGS = {
  host: 'host-1',
  failureDomain: 'north',
  callers: '10.0.0.1:6001',
  peers: '10.0.0.1:6002',
  operators: '[::1]:6003',
  dataFolder: 'data',
  control: [{ host: 'host-1', peers: '10.0.0.1:6002' }, { host: 'host-2', peers: '10.0.0.2:6002' }]
}
const listPaths = (settings: unknown): readonly string[] => {
  const parsed = parseSettings(typeof settings === 'string' ? settings : JSON.stringify(settings))
  return parsed.isOk ? [] : parsed.error.map(finding => finding.path)
}
const listDocumentPaths = (document: unknown): readonly string[] => {
  const parsed = parseDocument(JSON.stringify(document))
  return parsed.isOk ? [] : parsed.error.map(finding => finding.path)
}

describe('settings', () => {
  it('accept the examples', async () => {
    const readExample = async (name: string) => await readFile(new URL(`../../examples/deployments/${name}`, import.meta.url), 'utf8')
    expect(listPaths({ $schema: './settings.schema.json', ...VALID_SETTINGS })).to.deep.equal([])
    expect(listPaths(await readExample('host.settings.jsonc'))).to.deep.equal([])
    for (const service of ['atelier', 'ramillete']) expect(parseDocument(await readExample(`${service}.document.jsonc`)).isOk, service).to.equal(true)
  })

  it('report findings of all kinds at once, each at its line and column', () => {
    const parsed = parseSettings(`{
  "host": "host-1", "host": "host-1", // duplicate
  "failureDomain": 3,
  "callers": "localhost:6000",
  "peers": "0.0.0.0:6002",
  "operators": "10.0.0.1:99999",
  "colour": "red",
  "control": [{ "host": "host-1", "peers": "10.0.0.1:6002" }, { "host": "host-1", "peers": "10.0.0.1:6002" }],
  "limits": { "requestMs": 0.5, "drainMs": 4000000000 }
}`)
    const found = parsed.isErr ? parsed.error.map(({ line, column, path }) => `${line}:${column} ${path}`) : []
    expect(found).to.deep.equal([
      '2:11 host', '2:21 host', '3:20 failureDomain', '4:14 callers', '5:12 peers', '6:16 operators', '7:3 colour',
      '8:44 control[0].peers', '8:73 control[1].host', '8:92 control[1].peers', '9:28 limits.requestMs', '9:44 limits.drainMs'
    ])
  })

  it('report violated rules that span several values', () => {
    expect(listPaths({ ...VALID_SETTINGS, dataFolder: undefined })).to.deep.equal(['host'])
    expect(listPaths({ ...VALID_SETTINGS, host: 'host-9' })).to.deep.equal(['dataFolder'])
    expect(listPaths({ ...VALID_SETTINGS, peers: '10.0.0.1:6009' })).to.deep.equal(['control[0].peers'])
    expect(listPaths({ ...VALID_SETTINGS, operators: VALID_SETTINGS.callers })).to.deep.equal(['operators'])
    expect(listPaths({ ...VALID_SETTINGS, callers: '10.0.0.1:0', control: [] })).to.deep.equal(['callers', 'control'])
    expect(listPaths({ ...VALID_SETTINGS, callers: '10.0.0.256:6000' })).to.deep.equal(['callers'])
    expect(listPaths({ ...VALID_SETTINGS, host: 'constructor' })).to.include('host')
  })

  it('report every syntax error, and reject texts that would overflow the stack of a recursive parser', () => {
    expect(listPaths('')).to.deep.equal([''])
    expect(listPaths('{ "host": , "peers" 1 }').length).to.be.greaterThan(1)
    expect(listPaths('['.repeat(300_000))).to.deep.equal([''])
    expect(listPaths(`[${'1,'.repeat(130_000)}]`).length).to.be.within(1, 500)
    expect(listPaths(`{ "host": "${'a'.repeat(300_000)}" }`)).to.deep.equal([''])
    expect(listPaths(`${'{"a":'.repeat(65)}1${'}'.repeat(65)}`)).to.deep.equal([''])
  })
})

describe('documents', () => {
  it('report unresolved references together with wrong types', () => {
    expect(listDocumentPaths({
      service: 'rota',
      owners: [],
      groups: [{ name: 'a', databases: 3 }, { name: 'a', databases: 0 }],
      workspaces: [{ name: 'w', rate: -1, burst: 1, group: 'none', keys: [{ id: 'k', sha256: 'x' }, { id: 'k', sha256: 'a'.repeat(64) }] }],
      routes: [{ name: 'r', action: 'read', access: 'open' }, { name: 'r', action: 'read', group: 'none' }]
    })).to.have.members([
      'owners', 'groups[1].name', 'groups[1].databases', 'workspaces[0].rate', 'workspaces[0].group', 'workspaces[0].keys[0].sha256',
      'workspaces[0].keys[1].id', 'routes[0]', 'routes[1].name', 'routes[1].group'
    ])
  })
})
