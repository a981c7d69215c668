#!/usr/bin/env bash
# Exit code: 0 if the rule held, 1 if it was broken, 2 if the case couldn't run.
# TROUBLE=0 runs the same without the disruption. TROUBLE=2 has the same two
# replacements, the second one 3 s later.
cd "$(dirname "$0")" || exit 2
program=../../target/review/two_replacements
[ -x "$program" ] || exit 2
exec "$program" "$(cd ../.. && pwd)" record.txt "${TROUBLE:-1}" plain
