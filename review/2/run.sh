#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file.
cd "$(dirname "$0")/../.." || exit 2
[ -e target/hyssoptally-router.cjs ] || exit 2
exec node review/2/main.mjs
