#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10. They are plain scripts of Node.js, so this checks their syntax only.
set -euo pipefail
cd "$(dirname "$0")"
for script in lib-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
  if [ -e "$script" ]; then node --check "$script"; fi
done
