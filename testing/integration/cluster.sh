# Functions that start and stop entry hosts and stand-ins on the loopback interface. Sourced by
# scripts/demo and by the integration tests. Each host has its own address in 127.0.0.0/8.
# The caller sets ROOT (root of the repository) and BUILD (build directory) first.

WORK=$(mktemp -d)
declare -A PIDS=()
SUBNET="127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))"
LOG=$SUBNET.1:7000
HOSTS=$SUBNET.2:7000
CLI=$BUILD/packages/cli/cactusshelf
DAEMON=$BUILD/packages/daemon/cactusshelfd
STANDINS=$BUILD/testing/standins

entry_http() { echo "$SUBNET.$((10 + $1)):8080"; }
entry_peer() { echo "$SUBNET.$((10 + $1)):8081"; }
endpoint_address() { echo "$SUBNET.$((20 + $1)):8000"; }
worker_address() { echo "$SUBNET.$((20 + $1)):9000"; }

# start NAME COMMAND...: starts a background process; its output goes to $WORK/NAME.{out,log}.
start() {
  local name=$1
  shift
  "$@" >"$WORK/$name.out" 2>"$WORK/$name.log" &
  PIDS[$name]=$!
}

# stop NAME [SIGNAL]: ends a process that was started with `start` and returns its exit status. Also
# resumes the process, because a process stopped with SIGSTOP does not handle SIGTERM.
stop() {
  local name=$1 pid=${PIDS[$1]}
  unset "PIDS[$name]"
  kill "-${2:-TERM}" "$pid" 2>/dev/null || true
  kill -CONT "$pid" 2>/dev/null || true
  local status=0
  wait "$pid" 2>/dev/null || status=$?
  return "$status"
}

stop_all() {
  local name
  for name in "${!PIDS[@]}"; do stop "$name" KILL || true; done
  if [[ -n ${KEEP_WORK:-} ]]; then echo "logs kept in $WORK" >&2; else rm -rf "$WORK"; fi
}
trap stop_all EXIT

# wait_for SECONDS COMMAND...: repeats the command until it succeeds; fails after SECONDS.
wait_for() {
  local deadline=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if ((SECONDS >= deadline)); then return 1; fi
    sleep 0.1
  done
}

control() { curl -sf -m 5 -X POST "http://$1/control" -d "$2" >/dev/null; }

start_platform() {
  start log "$STANDINS/standin_log" --listen "$LOG"
  start hosts "$STANDINS/standin_hosts" --listen "$HOSTS" --lag-ms 500
  wait_for 10 curl -sf "http://$HOSTS/v1/hosts"
  wait_for 10 curl -sf "http://$LOG/v1/streams/cactusshelf/records?from=0&wait_ms=0"
}

# list_entry_hosts N: replaces the host list by the first N entry hosts, all live.
list_entry_hosts() {
  local i hosts=()
  for ((i = 1; i <= $1; i++)); do hosts+=("{\"name\":\"entry$i\",\"state\":\"live\"}"); done
  local IFS=,
  control "$HOSTS" "{\"hosts\":[${hosts[*]}]}"
}

start_endpoint() {
  start "endpoint$1" "$STANDINS/standin_endpoint" --listen "$(endpoint_address "$1")" \
    --name "endpoint$1" "${@:2}"
}

start_worker() {
  start "worker$1" "$STANDINS/standin_worker" --listen "$(worker_address "$1")" \
    --name "worker$1" --rack "rack$(($1 % 2))" "${@:2}"
}

# start_entry I [DOMAIN]: starts entry host I in a failure domain.
start_entry() {
  local i=$1
  cat >"$WORK/entry$i.toml" <<SETTINGS
host_name = "entry$i"
domain = "${2:-north}"
http_address = "$(entry_http "$i")"
peer_address = "$(entry_peer "$i")"
log_level = "info"

[log_service]
address = "$LOG"

[host_list]
address = "$HOSTS"

[timing]
log_retention = "1h"
SETTINGS
  start "entry$i" "$DAEMON" --config "$WORK/entry$i.toml"
}

entry_ready() { curl -sf -m 2 "http://$(entry_http "$1")/readyz"; }
entry_status() { curl -sf -m 2 "http://$(entry_http "$1")/v1/status"; }
entry_has_revision() { [[ $(entry_status "$1" | jq -r .revision) == "$2" ]]; }

# request_id [SECONDS]: prints a version 7 UUID issued now, or SECONDS ago.
request_id() {
  local ms=$(($(date +%s%3N) - ${1:-0} * 1000))
  printf '%08x-%04x-7%03x-8%03x-%04x%04x%04x\n' $((ms >> 16)) $((ms & 65535)) \
    $((RANDOM % 4096)) $((RANDOM % 4096)) $RANDOM $RANDOM $RANDOM
}

# post ENTRY SERVICE ID IDEMPOTENT BODY: sends a request and prints "<status> <outcome> <reason>".
# The response body is written to $WORK/answer.
post() {
  curl -s -m 40 -o "$WORK/answer" -D "$WORK/headers" -X POST \
    -H "Cactusshelf-Account: ${ACCOUNT:-field-crews}" -H "Cactusshelf-Request-Id: $3" \
    -H "Cactusshelf-Idempotent: $4" -d "$5" \
    "http://$(entry_http "$1")/v1/services/$2/issue" || true
  awk -v RS='\r\n' 'NR==1{s=$2} tolower($1)=="cactusshelf-outcome:"{o=$2}
    tolower($1)=="cactusshelf-reason:"{r=$2} END{print s, o, r}' "$WORK/headers"
}

# owners_ready ENTRIES: succeeds if every entry host can run non-idempotent requests with ten random
# ids. A member owns ids only some seconds after it joined, and does not know ids issued before
# that. Sets OWNERS_ANSWER to the last answer.
owners_ready() {
  local i n
  for ((i = 1; i <= $1; i++)); do
    for ((n = 0; n < 10; n++)); do
      OWNERS_ANSWER=$(post "$i" notices "$(request_id)" false probe)
      [[ $OWNERS_ANSWER == "200 answered"* ]] || return 1
    done
  done
}

# executions_of ID ENDPOINTS: prints how often the endpoints executed the request.
executions_of() {
  local i n=0 count
  for ((i = 1; i <= $2; i++)); do
    count=$(curl -sf -m 5 "http://$(endpoint_address "$i")/control/executions" |
      jq -r --arg id "$1" '.executions[$id] // 0')
    n=$((n + count))
  done
  echo "$n"
}

# write_configuration ENDPOINTS WORKERS: writes the configuration files of customer "andina" with
# the service "notices" and one job.
write_configuration() {
  local i
  {
    cat <<CONFIG
[[customer]]
name = "andina"
priority = 10

[[account]]
name = "field-crews"
customer = "andina"
request_rate = "10000/s"

[[team]]
name = "rendering"
customer = "andina"
quota = { processors = 64, memory = "256GiB" }

[[service]]
name = "notices"
customer = "andina"
slots = 8
connections = 64
default_deadline = "5s"
endpoints = [
CONFIG
    for ((i = 1; i <= $1; i++)); do
      echo "  { address = \"$(endpoint_address "$i")\", domain = \"north\", rack = \"rack$((i % 2))\" },"
    done
    echo "]"
  } >"$WORK/services.toml"
  {
    for ((i = 1; i <= $2; i++)); do
      cat <<CONFIG
[[worker]]
name = "worker$i"
address = "$(worker_address "$i")"
domain = "north"
rack = "rack$((i % 2))"
cell = "cell1"
capacity = { processors = 16, memory = "56GB" }

CONFIG
    done
  } >"$WORK/workers.toml"
  cat >"$WORK/jobs.toml" <<CONFIG
[[job]]
name = "render-bulk"
team = "rendering"
class = "render"
tasks = 4
processors = 2
memory = "1GiB"
expected_run_time = "2s"
CONFIG
  printf '[[retirement]]\ncustomer = "andina"\n' >"$WORK/retirement.toml"
}
