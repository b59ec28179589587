import { expect } from 'chai'
import { createDirectory, putEntry, type DirectoryEntry, type HostEntry } from './directory.js'
import { listLenders } from './lenders.js'
import { allocateOwners } from './owners.js'

const DOMAINS = ['a', 'b', 'c']

const createHost = (number: number, parts: Partial<HostEntry> = {}): HostEntry => ({ kind: 'host', host: `host-${number}`, incarnation: '1', failureDomain: DOMAINS[number % 3]!, peers: `host-${number}`, draining: false, ...parts })
const createControl = (number: number): HostEntry => createHost(number, { host: `control-${number}`, control: true, apart: true })
const DATABASES = Array.from({ length: 9 }, (_, index) => ({ kind: 'database', database: `db-${index}`, group: 'g', failureDomain: DOMAINS[index % 3]!, address: '127.0.0.1:1', slots: 3, connectionLimit: 10, departing: false }) as const)

const list = (hosts: readonly HostEntry[]): readonly string[] => listLenders([...hosts, ...DATABASES].reduce<ReturnType<typeof createDirectory>>((directory, entry: DirectoryEntry) => putEntry(directory, entry), createDirectory(1)), allocateOwners(DATABASES, hosts))
const CONTROL = [0, 1, 2].map(createControl)
const HOSTS = Array.from({ length: 37 }, (_, index) => createHost(index))

describe('the lenders of a fleet', () => {
  it('are none in a small fleet, where each host holds shares', () => {
    expect(list([...CONTROL, ...HOSTS.slice(0, 12)])).to.deep.equal([])
  })

  it('grow with the fleet, and are no control hosts and no owners of databases', () => {
    const lenders = list([...CONTROL, ...HOSTS])
    const owners = new Set(allocateOwners(DATABASES, [...CONTROL, ...HOSTS]).values())
    expect(lenders).to.have.length(10)
    expect(lenders.filter(host => host.startsWith('control') || owners.has(host))).to.deep.equal([])
  })

  it('stay the same but for one when one of them drains', () => {
    const lenders = list([...CONTROL, ...HOSTS])
    const drained = list([...CONTROL, ...HOSTS.map(host => (host.host === lenders[0] ? { ...host, draining: true } : host))])
    expect(drained).not.to.include(lenders[0])
    expect(drained.filter(host => !lenders.includes(host))).to.have.length(1)
  })

  it('are other hosts where all own databases or serve control', () => {
    expect(list(Array.from({ length: 16 }, (_, index) => createControl(index)))).to.have.length(4)
  })
})
