#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
program=target/review-2/case-$(basename "$here")
[[ -x $program && -x target/bin/medlarrack-gateway && -x target/bin/medlarrack-agent ]] || exit 2
temporary=$(mktemp -d)
trap 'rm -rf "$temporary"' EXIT
timeout --kill-after=3 115 "$program" "$here" "$temporary"
code=$?
((code <= 1)) || code=2
exit "$code"
