#!/bin/sh
# The scripts of the cases 6 and later start their own stand-ins, plain modules in review/lib-2, which need no
# build, and the router, which the build of the deploy file makes. This checks that both are there.
cd "$(dirname "$0")/.." || exit 1
for file in target/hyssoptally-router.cjs target/router-bundle.cjs; do
  [ -f "$file" ] || { echo "$file is missing: run the build of deploy/system.toml first" >&2; exit 1; }
done
for file in review/lib-2/*.mjs review/[6-9]/main.mjs review/10/main.mjs; do
  [ ! -f "$file" ] || node --check "$file" || exit 1
done
