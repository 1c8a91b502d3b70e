#!/bin/sh
# The scripts' stand-ins are plain modules without dependencies: they are only checked.
cd "$(dirname "$0")" || exit 1
for file in lib/*.mjs [1-5]/*.mjs; do
  node --check "$file" || exit 1
done
