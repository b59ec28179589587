/** Names of hosts, failure domains, services, groups, workspaces, routes and keys. */
import * as v from 'valibot'

/** The schema of a name, which is also used as a key of JavaScript objects. */
export const Name = v.pipe(
  v.string(),
  v.regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, 'Expected 1 to 63 letters, digits, dots, hyphens or underscores, beginning with a letter or digit'),
  v.check(name => !(name in {}), 'Expected a name other than those of JavaScript object members, such as constructor')
)

const MAX_TOKEN_LENGTH = 200

/** The schema of a name that another system chose, and that stands as one word in lines and log texts. */
export const Token = v.pipe(
  v.string(),
  v.maxLength(MAX_TOKEN_LENGTH, `Expected at most ${MAX_TOKEN_LENGTH} characters`),
  v.regex(/^[\x21-\x7e]+$/, 'Expected printable ASCII characters without spaces'),
  v.check(name => !(name in {}), 'Expected a name other than those of JavaScript object members, such as constructor')
)
