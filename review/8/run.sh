#!/usr/bin/env bash
# MIXED: a wave is said to be completed, and a machine of it has not begun its upkeep, as another wave had it in upkeep.
set -euo pipefail
trouble=${TROUBLE:-1} # 0: the same without the disruption
case_directory=$(cd "$(dirname "$0")" && pwd)
# shellcheck source=../standin-2/lib.sh
source "$case_directory/../standin-2/lib.sh"

write_wave() { control "{\"wave\": {\"wave\": $1, \"machines\": [\"m-0\"], \"duration_s\": 26, \"cap\": 1}}" >/dev/null; }

begin_case "MIXED: a wave is said to be completed, and a machine of it that stays hasn't begun its upkeep"
start_platform 4 2000
start_entries 2
wait_for_decider
write_wave 1
if [ "$trouble" = 1 ]; then
  wait_until 20 "the upkeep for the first wave" seen '.upkeeps == [["m-0", 1]]'
else
  wait_until 40 "the end of the first wave" seen '.completed_waves == [1]'
  sleep 3
fi
# No upkeep of the machine has begun since the second wave was asked for.
write_wave 2
wait_until 45 "the end of the second wave" seen '.completed_waves | index(2) != null'
say "upkeeps that began: $(observe | jq -c .upkeeps), waves said to be completed: $(observe | jq -c .completed_waves)"
if [ "$(observe | jq '.unbegun | length')" -gt 0 ]; then
  sleep 10
  say "10 s later, upkeeps that began: $(observe | jq -c .upkeeps)"
  say "MIXED was broken"
  exit 1
fi
say "MIXED held"
