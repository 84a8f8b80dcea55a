#!/usr/bin/env bash
# Proofs with real entry host processes and stand-ins that are killed, stopped with SIGSTOP or made
# unavailable. Usage: proofs.sh NAME. Prints each check and exits with 0 only if all checks passed.
set -uo pipefail
ROOT=$(cd "$(dirname "$0")/../.." && pwd)
BUILD=${BUILD_DIR:-$ROOT/build}
# shellcheck source=testing/integration/cluster.sh
source "$ROOT/testing/integration/cluster.sh"

failures=0
check() {
  local description=$1
  shift
  if "$@"; then echo "  held: $description"; else echo "  BROKEN: $description"; failures=$((failures + 1)); fi
}

# deploy ENTRIES ENDPOINTS SERVICE_TIME_MS: starts all processes, publishes a configuration and
# waits until it is in force.
deploy() {
  local i
  start_platform || exit 1
  list_entry_hosts "$1"
  for ((i = 1; i <= $2; i++)); do start_endpoint "$i" --service-time-ms "$3"; done
  for ((i = 1; i <= 2; i++)); do start_worker "$i"; done
  for ((i = 1; i <= $1; i++)); do start_entry "$i"; done
  for ((i = 1; i <= $1; i++)); do wait_for 20 entry_ready "$i" || { echo "entry$i was not ready within 20 s"; exit 1; }; done
  write_configuration "$2" 2
  "$CLI" publish --log "$LOG" "$WORK"/{services,workers}.toml >/dev/null || exit 1
  REVISION=$("$CLI" show --log "$LOG" --output json | jq -r .revision)
  for ((i = 1; i <= $1; i++)); do wait_for 7 entry_has_revision "$i" "$REVISION" || exit 1; done
  wait_for 30 owners_ready "$1" || { echo "the members did not own all ids within 30 s; last answer: ${OWNERS_ANSWER:-none}"; exit 1; }
}

executed_at_most_once() {
  curl -sf "http://$(endpoint_address "$1")/control/executions" |
    jq -e '[.executions[] | select(. > 1)] | length == 0' >/dev/null
}

# Callers repeat non-idempotent requests at other entry hosts while one entry host is killed and
# another is suspended and resumed.
prove_at_most_once() {
  deploy 5 3 30
  local n id ids=() pids=()
  for ((n = 0; n < 60; n++)); do ids+=("$(request_id)"); done
  for id in "${ids[@]}"; do
    { curl -s -m 30 -o /dev/null -X POST -H "Cactusshelf-Account: field-crews" \
      -H "Cactusshelf-Request-Id: $id" -d x "http://$(entry_http $((RANDOM % 5 + 1)))/v1/services/notices/issue"; } &
    pids+=($!)
    if ((${#pids[@]} == 20)); then stop entry1 KILL; kill -STOP "${PIDS[entry2]}"; fi
  done
  sleep 1
  local round
  for round in 1 2 3; do
    for id in "${ids[@]}"; do
      curl -s -m 10 -o /dev/null -X POST -H "Cactusshelf-Account: field-crews" \
        -H "Cactusshelf-Request-Id: $id" -d x "http://$(entry_http $((RANDOM % 3 + 3)))/v1/services/notices/issue" &
      pids+=($!)
    done
    sleep 3
    if ((round == 2)); then kill -CONT "${PIDS[entry2]}"; fi
  done
  wait "${pids[@]}" 2>/dev/null
  local i
  for ((i = 1; i <= 3; i++)); do
    check "endpoint $i executed no request id more than once" executed_at_most_once "$i"
  done
  local total=0
  for ((i = 1; i <= 3; i++)); do
    total=$((total + $(curl -sf "http://$(endpoint_address "$i")/control/executions" | jq '.executions | length')))
  done
  local over=0
  for id in "${ids[@]}"; do (($(executions_of "$id" 3) <= 1)) || over=$((over + 1)); done
  check "no request id was executed at two endpoints (60 ids, $total executions)" test "$over" = 0
}

# All requests in flight at the time of SIGTERM are answered, and the process exits with 0.
prove_graceful_stop() {
  deploy 3 4 800
  local n pids=()
  for ((n = 0; n < 8; n++)); do
    curl -s -m 20 -o /dev/null -w '%{http_code}\n' -X POST -H "Cactusshelf-Account: field-crews" \
      -H "Cactusshelf-Idempotent: true" -d x "http://$(entry_http 1)/v1/services/notices/issue" >"$WORK/r$n" &
    pids+=($!)
  done
  sleep 0.3
  check "the entry host exits with 0" stop entry1 TERM
  wait "${pids[@]}"
  local answered=0
  for ((n = 0; n < 8; n++)); do [[ $(cat "$WORK/r$n") == 200 ]] && answered=$((answered + 1)); done
  check "all 8 requests in flight are answered ($answered)" test "$answered" = 8
  check "the other members see that the entry host left within 7 s" wait_for 7 bash -c \
    "[[ \$(curl -sf http://$(entry_http 2)/v1/status | jq '.members | length') == 2 ]]"
}

# Requests are answered during a log outage. A publish during the outage is refused, and a publish
# after the outage is in force within 7 s at all entry hosts. An entry host that is killed and
# restarted has the same revision.
prove_in_force() {
  deploy 4 2 10
  control "$LOG" '{"outage": true}'
  sleep 4
  check "requests are answered in a log outage" test \
    "$(post 1 notices "$(request_id)" true x | cut -d' ' -f1)" = 200
  check "non-idempotent requests are answered in a log outage" test \
    "$(post 2 notices "$(request_id)" false x | cut -d' ' -f1)" = 200
  "$CLI" publish --log "$LOG" --timeout 3 "$WORK/jobs.toml" >/dev/null 2>&1
  check "a publish in a log outage reports that the log is not available" test $? = 4
  control "$LOG" '{"outage": false}'
  "$CLI" publish --log "$LOG" "$WORK/jobs.toml" >/dev/null
  local i revision
  revision=$("$CLI" show --log "$LOG" --output json | jq -r .revision)
  for ((i = 1; i <= 4; i++)); do
    check "revision $revision is in force at entry host $i within 7 s" wait_for 7 entry_has_revision "$i" "$revision"
  done
  stop entry3 KILL
  start_entry 3
  check "revision $revision is in force at a restarted entry host within 20 s" \
    wait_for 20 entry_has_revision 3 "$revision"
}

# The certificate is withheld while a suspended entry host could still act, and is issued after its
# removal has lapsed.
prove_retirement() {
  deploy 4 2 10
  kill -STOP "${PIDS[entry4]}"
  "$CLI" publish --log "$LOG" --remove services.toml "$WORK/retirement.toml" >/dev/null
  sleep 5
  "$CLI" audit --log "$LOG" --customer andina >"$WORK/audit" 2>&1
  check "the certificate is withheld while an entry host is suspended" test $? = 5
  check "the audit names the suspended entry host" grep -q "entry4" "$WORK/audit"
  check "the certificate is issued once the removal has lapsed" \
    wait_for 75 "$CLI" audit --log "$LOG" --customer andina --export "$WORK/cert.json"
  check "the exported certificate verifies offline" "$CLI" audit --verify "$WORK/cert.json"
  # Evidence with altered offsets, without its last item, and in reverse order.
  jq '(.. | objects | select(has("offset")) | .offset) |= . + 1' "$WORK/cert.json" >"$WORK/altered.json"
  jq 'to_entries | map(if (.value | type) == "array" then .value |= .[:-1] else . end) | from_entries' \
    "$WORK/cert.json" >"$WORK/missing.json"
  jq 'to_entries | map(if (.value | type) == "array" then .value |= reverse else . end) | from_entries' \
    "$WORK/cert.json" >"$WORK/reordered.json"
  local file
  for file in altered missing reordered; do
    "$CLI" audit --verify "$WORK/$file.json" >/dev/null 2>&1
    local status=$?
    check "an export with evidence $file does not verify (exit code $status)" test "$status" = 6
  done
  kill -CONT "${PIDS[entry4]}"
  check "the resumed entry host refuses requests of the retired customer" bash -c \
    "[[ \$(curl -s -o /dev/null -w '%{http_code}' -m 5 -X POST -H 'Cactusshelf-Account: field-crews' -H 'Cactusshelf-Idempotent: true' -d x http://$(entry_http 4)/v1/services/notices/issue) != 200 ]]"
  "$CLI" publish --log "$LOG" "$WORK/services.toml" >"$WORK/readmit" 2>&1
  check "the retired customer cannot be admitted again" test $? = 1
}

same_revision() {
  local i
  [[ $(for ((i = 1; i <= $1; i++)); do entry_status "$i" | jq -r .revision; done | sort -u | wc -l) == 1 ]]
}

# Two operators publish changes of the same base revision at the same time.
prove_config_race() {
  deploy 3 2 10
  local base=$REVISION
  mkdir -p "$WORK/a" "$WORK/b"
  sed 's/5s/4s/' "$WORK/services.toml" >"$WORK/a/services.toml"
  sed 's/5s/3s/' "$WORK/services.toml" >"$WORK/b/services.toml"
  "$CLI" publish --log "$LOG" --base "$base" "$WORK/a/services.toml" >"$WORK/a/out" 2>&1 &
  local first=$!
  "$CLI" publish --log "$LOG" --base "$base" "$WORK/b/services.toml" >"$WORK/b/out" 2>&1
  local second_status=$? first_status
  wait "$first"
  first_status=$?
  check "one publish succeeds and the other reports a conflict (exit codes $first_status, $second_status)" \
    test "$(printf '%s\n' $first_status $second_status | sort | paste -sd,)" = "0,3"
  check "all entry hosts have the same revision within 7 s" wait_for 7 same_revision 3
}

# An endpoint that the host list shows as leaving receives no new requests after 5 s.
prove_leaving_endpoint() {
  deploy 3 3 10
  curl -sf -m 5 -X POST "http://$HOSTS/control" \
    -d "{\"update\":[{\"name\":\"$SUBNET.21\",\"state\":\"leaving\"}]}" >/dev/null
  sleep 5
  local before after n
  before=$(curl -sf "http://$(endpoint_address 1)/control/executions" | jq '.executions | length')
  for ((n = 0; n < 60; n++)); do post $((n % 3 + 1)) notices "$(request_id)" true x >/dev/null; done
  after=$(curl -sf "http://$(endpoint_address 1)/control/executions" | jq '.executions | length')
  check "the leaving endpoint received none of 60 requests (executions before and after: $before, $after)" \
    test "$before" = "$after"
}

name=${1//-/_}
declare -F "prove_$name" >/dev/null || { echo "no such proof: $1" >&2; exit 2; }
"prove_$name"
((failures == 0))
