#!/usr/bin/env bash
# Prepares the stand-ins of the cases. They are plain Node.js modules, so they are only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
