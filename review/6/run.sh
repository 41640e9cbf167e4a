#!/usr/bin/env bash
# TWICE: a start that got no response is carried out late, by a worker that has started again under its id, after the
# task has been done elsewhere.
set -euo pipefail
trouble=${TROUBLE:-1} # 0: the same without the disruption
case_directory=$(cd "$(dirname "$0")" && pwd)
# shellcheck source=../standin-2/lib.sh
source "$case_directory/../standin-2/lib.sh"

job=1a365c03c12a8600
run_ms=1000
late_ms=8500 # within 2 to 12 s; one of two starts is late, at most half of the orders
crash_after_s=4
down_ms=1000

begin_case "TWICE: a start after a run has ended done, if that end is taken note of, or two runs at the same time"
start_platform 8 2000 # of which one crashes: an eighth, at most 0.15 of the workers of a service
start_entries 2
wait_for_decider
sleep 10 # the workers have run for a while when the trouble begins
if [ "$trouble" = 1 ]; then
  control "{\"run_ms\": $run_ms, \"late_next\": 1, \"late_delay_ms\": $late_ms}" >/dev/null
else
  control "{\"run_ms\": $run_ms}" >/dev/null
fi
wait_until 10 "acceptance of the job" is_accepted $job 0 "$(job_body 2 1000)"
is_completed() { [[ $(client GET "/night/$job" 1) == *completed* ]]; }
if [ "$trouble" = 1 ]; then
  wait_until 10 "the start without a response" seen '.held | length == 1'
  worker=$(observe | jq -r '.held[0].worker')
  sleep $crash_after_s
  control "{\"crash\": {\"worker\": \"$worker\", \"down_ms\": $down_ms}}" >/dev/null
fi
wait_until 40 "the end of the job" is_completed
sleep 10
doubled=$(observe | jq .doubled)
repeated=$(observe | jq .repeated)
say "starts: $(observe | jq .starts) of 2 tasks; after an end done that was taken note of: $repeated; beside another run: $doubled"
if [ $((doubled + repeated)) -gt 0 ]; then
  say "TWICE was broken"
  exit 1
fi
say "TWICE held"
