/** Published pages follow from the code. */
import { readFile } from 'node:fs/promises'
import { expect } from 'chai'
import { createPages } from '../scripts/pages.js'

describe('the published pages', () => {
  for (const page of createPages()) {
    it(`docs/${page.file} is current; npm run pages writes it`, async () => {
      expect(await readFile(new URL(`../docs/${page.file}`, import.meta.url), 'utf8')).to.equal(page.text)
    })
  }
})
