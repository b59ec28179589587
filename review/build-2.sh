#!/bin/sh
# Builds what the scripts in the folders 6 to 10 start beside the programs of the deploy file. Their stand-ins are plain
# JavaScript in review/lab and use nothing of the project's own stand-ins, so that there is nothing to compile: this checks that
# the runtime reads them.
set -eu
cd "$(dirname "$0")"
for file in lab/*.js 6/run.js 7/run.js 8/run.js 9/run.js 10/run.js
do
  node --check "$file"
done
