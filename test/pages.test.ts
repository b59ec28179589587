/** The generated pages under docs match the code. */
import { readFile } from 'node:fs/promises'
import { expect } from 'chai'
import { createPages } from '../scripts/pages.js'

describe('the generated pages', () => {
  for (const page of createPages()) {
    it(`docs/${page.file} is up to date; npm run pages regenerates it`, async () => {
      expect(await readFile(new URL(`../docs/${page.file}`, import.meta.url), 'utf8')).to.equal(page.text)
    })
  }
})
