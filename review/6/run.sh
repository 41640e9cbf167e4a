#!/usr/bin/env bash
# LOST: a job is shown as failed though none of its runs has failed, as workers have crashed under a task of it.
set -euo pipefail
case_directory=$(cd "$(dirname "$0")" && pwd)
# shellcheck source=../standin-2/lib.sh
source "$case_directory/../standin-2/lib.sh"

job=1a365c03c12a8600
run_ms=4000
crashes=4
down_ms=2000 # days of the site have crashes of up to 6.7 s

begin_case "LOST: a job is shown as failed without cause (only ends failed count as attempts)"
start_platform 8 2000 # of which one is down at a time: an eighth, at most 0.15 of the workers of a service
start_entries 2
wait_for_decider
control "{\"run_ms\": $run_ms}" >/dev/null
wait_until 10 "acceptance of the job" is_accepted $job 0 "$(job_body 1 1000)"
state() { client GET "/night/$job" 1; }
is_over() { seen ".starts > $1" || [[ $(state) == *failed* ]]; }
if [ "$trouble" = 1 ]; then
  for ((number = 0; number < crashes; number++)); do
    wait_until 30 "start $((number + 1)) or the end of the job" is_over "$number"
    [[ $(state) != *failed* ]] || break
    sleep 1.5
    worker=$(observe | jq -r '[.running[] | select(.[1] > 0)][0][0]')
    control "{\"crash\": {\"worker\": \"$worker\", \"down_ms\": $down_ms}}" >/dev/null
  done
fi
is_final() { [[ $(state) =~ completed|failed ]]; }
wait_until 40 "the end of the job" is_final
answer=$(state)
say "the job is shown as: $answer; starts: $(observe | jq .starts), runs that ended failed: 0"
if [[ $answer == *failed* ]]; then
  say "LOST was broken"
  exit 1
fi
say "LOST held"
