#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/poplarpind ] && [ -x target/review/stand ] || { echo "build deploy/system.toml and review/build.sh first" >&2; exit 2; }
exec target/review/stand quota review/5
