#!/bin/bash
# The stand-ins and scripts are plain JavaScript without dependencies: there is nothing to compile, so this checks that they can be read.
set -eu
cd "$(dirname "$0")"
for file in *.js [1-5]/run.js; do node --check "$file"; done
