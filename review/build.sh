#!/usr/bin/env bash
# The stand-ins of the cases are plain modules for Node.js 20: there is nothing to compile, only to check.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]/*.mjs; do node --check "$file"; done
