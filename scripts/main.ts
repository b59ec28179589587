/** Writes the generated pages of the docs; run by `npm run pages`. */
import { writeFile } from 'node:fs/promises'
import { createPages } from './pages.js'

for (const page of createPages()) {
  await writeFile(new URL(`../docs/${page.file}`, import.meta.url), page.text)
  console.log(`docs/${page.file}`)
}
