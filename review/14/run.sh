#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/cyclamenward-platform target/review-3/standin3; do
	if [ ! -x "$program" ]; then
		echo "$program is missing: run the build of deploy/system.toml and review/build-3.sh" >&2
		exit 2
	fi
done
exec target/review-3/standin3 entries review/14
