#!/usr/bin/env bash
# Runs the case. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out. Before: the build of the deploy file, and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml | head -n 1)
program=review/build/failing_lasting
if [ ! -x "${command%% *}" ] || [ ! -x "$program" ]; then
  echo "not built"
  exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
"$program" "$command" "$folder" review/5/record.txt >"$folder/log" 2>&1
result=$?
tail -n 2 review/5/record.txt
[ "$result" -le 1 ] || result=2
exit "$result"
