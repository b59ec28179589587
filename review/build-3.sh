#!/bin/sh
# Checks the stand-ins and the scripts of the third review. They are plain JavaScript, which Node.js runs as it is.
cd "$(dirname "$0")" || exit 1
for file in parts-3/*.js 1[1-5]/*.js; do
  [ -f "$file" ] || continue
  node --check "$file" || exit 1
done
