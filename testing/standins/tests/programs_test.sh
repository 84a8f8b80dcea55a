#!/usr/bin/env bash
# Checks that each stand-in starts, applies the faults set through /control, and exits with status 0
# on SIGTERM. Usage: programs_test.sh DIRECTORY_OF_THE_PROGRAMS
set -euo pipefail
bin=$1
dir=$(mktemp -d)
pids=()
trap 'for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done; rm -rf "$dir"' EXIT

fail() {
  echo "failed: $*"
  exit 1
}
wait_port() {
  for _ in $(seq 100); do
    [[ -s $1 ]] && cat "$1" && return
    sleep 0.05
  done
  fail "port file $1 was not written within 5 s"
}
start() {
  local name=$1 program=$2
  shift 2
  "$bin/$program" --listen 127.0.0.1:0 --port-file "$dir/$name" "$@" &
  pids+=($!)
}
post() { curl -s --max-time 5 -X POST --data-binary "$2" "$1"; }
control() { [[ $(post "$1/control" "$2" | jq .ok) == true ]] || fail "control $2"; }
expect() { [[ $2 == "$3" ]] || fail "$1: got $2, expected $3"; }
status() { curl -s -o /dev/null --max-time 5 -w '%{http_code}' "$@" || true; }

start log standin_log
start endpoint standin_endpoint --slots 1 --connections 4
start worker standin_worker --milliprocessors 1000 --memory-bytes 1000
start hosts standin_hosts --lag-ms 300
log=http://127.0.0.1:$(wait_port "$dir/log")
endpoint=http://127.0.0.1:$(wait_port "$dir/endpoint")
worker=http://127.0.0.1:$(wait_port "$dir/worker")
hosts=http://127.0.0.1:$(wait_port "$dir/hosts")
start proxy_control fault_proxy --target "${endpoint#http://}" --proxy-port-file "$dir/proxy"
proxy=http://127.0.0.1:$(wait_port "$dir/proxy")
proxy_control=http://127.0.0.1:$(wait_port "$dir/proxy_control")

records=$log/v1/streams/main/records
expect "offset of the first append" "$(post "$records" abc)" '{"offset":0}'
expect "data of the first record" \
  "$(curl -s "$records?from=0" | jq -r '.records[0].data')" "$(printf abc | base64)"
curl -s "$records?from=1&wait_ms=5000" >"$dir/waited" &
long_poll=$!
sleep 0.2
post "$records" def >/dev/null
wait "$long_poll"
expect "end of the log after a long poll" "$(jq .next "$dir/waited")" 2
control "$log" '{"drop_answers": 1}'
expect "status of an append whose response is dropped" "$(status -X POST -d lost "$records")" 000
expect "end of the log after an append whose response was dropped" \
  "$(curl -s "$records?from=2" | jq .next)" 3
control "$log" '{"trim_to": 2}'
expect "first offset after a trim" "$(curl -s "$records?from=0" | jq .first)" 2
control "$log" '{"outage": true}'
expect "status of an append in an outage" "$(status -X POST -d x "$records")" 503
control "$log" '{"outage": false}'

request=(-X POST -H 'Cactusshelf-Request-Id: r1' -d work)
digest=$(printf work | sha256sum | cut -d' ' -f1)
expect "digest of the request body" \
  "$(curl -s "${request[@]}" "$endpoint/x" | jq -r .digest)" "$digest"
control "$endpoint" '{"close_after_reading": true}'
expect "status when the endpoint closes the connection after reading" \
  "$(status "${request[@]}" "$endpoint/x")" 000
control "$endpoint" '{"close_after_reading": false, "cut_body_at": 5}'
expect "length of a truncated response" "$(curl -s "${request[@]}" "$endpoint/x" | wc -c)" 5
control "$endpoint" '{"cut_body_at": -1, "hold_answers": true}'
curl -s "${request[@]}" "$endpoint/x" >"$dir/held" &
held=$!
sleep 0.2
control "$endpoint" '{"hold_answers": false}'
wait "$held"
expect "request id of a held response" "$(jq -r .request_id "$dir/held")" r1
control "$endpoint" '{"hold_answers": true}'
status --max-time 0.2 "${request[@]}" "$endpoint/x" >/dev/null
control "$endpoint" '{"hold_answers": false, "service_time_ms": 500}'
curl -s "${request[@]}" "$endpoint/x" >/dev/null &
busy=$!
sleep 0.2
curl -s -i "${request[@]}" "$endpoint/x" | grep -qi 'Cactusshelf-Refused: true' || fail "a request beyond the slots was not refused"
wait "$busy"
control "$endpoint" '{"service_time_ms": 0, "leaving": true}'
expect "status from a leaving endpoint" "$(status "${request[@]}" "$endpoint/x")" 503
control "$endpoint" '{"leaving": false}'
expect "number of executions of the request id" \
  "$(curl -s "$endpoint/control/executions" | jq .executions.r1)" 6
# Five idle connections exhaust the limit of 4. The endpoint closes all connections beyond the
# limit.
for fd in 11 12 13 14 15; do
  eval "exec $fd<>/dev/tcp/127.0.0.1/${endpoint##*:}"
done
sleep 0.2
expect "status on a connection beyond the limit" "$(status "${request[@]}" "$endpoint/x")" 000
for fd in 11 12 13 14 15; do
  eval "exec $fd>&-"
done
sleep 0.2
expect "status after the idle connections are closed" "$(status "${request[@]}" "$endpoint/x")" 200

expect "digest through the proxy" "$(curl -s "${request[@]}" "$proxy/x" | jq -r .digest)" "$digest"
control "$proxy_control" '{"swallow_answer": true}'
expect "status when the proxy discards the response" \
  "$(curl -s -o /dev/null -w '%{http_code}' --max-time 0.5 "${request[@]}" "$proxy/x" || true)" 000
control "$proxy_control" '{"swallow_answer": false, "cut_after_bytes": 20}'
expect "status when the proxy closes the connection after 20 bytes" \
  "$(status "${request[@]}" "$proxy/x")" 200
control "$proxy_control" '{"cut_after_bytes": -1, "delay_ms": 300}'
took=$(curl -s -o /dev/null -w '%{time_total}' "${request[@]}" "$proxy/x")
[[ $(jq -n "$took >= 0.6") == true ]] || fail "a request delayed by 300 ms in each direction took $took s"
control "$proxy_control" '{"delay_ms": 0, "bytes_per_second": 200}'
took=$(curl -s -o /dev/null -w '%{time_total}' "${request[@]}" -H "X-Fill: $(printf 'x%.0s' {1..100})" \
  --data "$(printf 'x%.0s' {1..17000})" "$proxy/x" --max-time 2 || true)
[[ $(jq -n "$took >= 2") == true ]] || fail "a request of 17000 bytes at 200 bytes per second took $took s"
control "$proxy_control" '{"bytes_per_second": 0, "stall_probability": 1, "stall_ms": 300}'
took=$(curl -s -o /dev/null -w '%{time_total}' "${request[@]}" "$proxy/x")
[[ $(jq -n "$took >= 0.6") == true ]] || fail "a request stalled by 300 ms in each direction took $took s"
control "$proxy_control" '{"stall_probability": 0, "half_open": true}'
expect "status through a half-open connection" \
  "$(status --max-time 0.5 "${request[@]}" "$proxy/x")" 000

command() { post "$worker/v1/commands" "$1" | jq -r .status; }
start_task() {
  local state incarnation lease
  state=$(curl -s "$worker/v1/state")
  incarnation=$(jq .incarnation <<<"$state")
  lease=$(jq '.worker_time_ms + 15000' <<<"$state")
  command '{"type":"start","id":"'"$1"'","epoch":3,"incarnation":'"$incarnation"',
    "task":{"task":"'"$2"'","attempt_epoch":3,"attempt_number":1},"class":"c","customer":"k",
    "size":{"milliprocessors":600,"memory_bytes":10,"accelerators":0},"checkpoint":"",
    "lease_until_ms":'"$lease"'}'
}
expect "result of installing an epoch" \
  "$(command '{"type":"install_epoch","id":"c0","epoch":3,"incarnation":0}')" done
expect "result of a start" "$(start_task c1 j/0)" done
expect "result of a repeated start" "$(start_task c1 j/0)" done
expect "result of a start beyond the capacity" "$(start_task c2 j/1)" no_capacity
expect "counted overcommit attempts and started tasks" \
  "$(curl -s "$worker/control/history" | jq -c '[.overcommit_attempts, (.events|length)]')" '[1,1]'

control "$hosts" '{"hosts": [{"name": "h1", "state": "leaving"}]}'
expect "host list before the lag has passed" "$(curl -s "$hosts/v1/hosts" | jq -c .hosts)" '[]'
sleep 0.4
expect "state of the host after the lag" \
  "$(curl -s "$hosts/v1/hosts" | jq -r '.hosts[0].state')" leaving

for pid in "${pids[@]}"; do
  kill "$pid"
  wait "$pid" || fail "process $pid did not exit cleanly"
done
pids=()
echo "stand-ins: all checks passed"
