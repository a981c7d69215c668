#!/bin/bash
# Runs the case; see claim.txt. Exit codes: 1 the rule was broken, 0 it held,
# 2 the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
folder="$(mktemp -d)" || exit 2
trap 'rm -rf "$folder"' EXIT
LAB_ROOT="$root" LAB_RECORD="$here/record.txt" LAB_FOLDER="$folder" \
  timeout -k 2 115 "$root/target/review-3/tag_clash"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
