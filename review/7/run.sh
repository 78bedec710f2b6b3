#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves
# the disruption out.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
export PLATFORM_BIN="$root/target/cyclamenward-platform"
[ -x "$PLATFORM_BIN" ] && [ -x "$root/target/review-2/standin2" ] || { echo "build first: the deploy file, and review/build-2.sh" >&2; exit 2; }
exec "$root/target/review-2/standin2" cutwatchers
