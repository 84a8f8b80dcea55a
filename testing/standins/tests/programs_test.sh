#!/usr/bin/env bash
# Guards against stand-ins that do not start, do not apply their faults or do not stop on SIGTERM.
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
  fail "no port in $1"
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
expect "first append" "$(post "$records" abc)" '{"offset":0}'
expect "record" "$(curl -s "$records?from=0" | jq -r '.records[0].data')" "$(printf abc | base64)"
curl -s "$records?from=1&wait_ms=5000" >"$dir/waited" &
waiter=$!
sleep 0.2
post "$records" def >/dev/null
wait "$waiter"
expect "long poll" "$(jq .next "$dir/waited")" 2
control "$log" '{"drop_answers": 1}'
expect "dropped answer" "$(status -X POST -d lost "$records")" 000
expect "append with a dropped answer took effect" "$(curl -s "$records?from=2" | jq .next)" 3
control "$log" '{"trim_to": 2}'
expect "trim" "$(curl -s "$records?from=0" | jq .first)" 2
control "$log" '{"outage": true}'
expect "append in an outage" "$(status -X POST -d x "$records")" 503
control "$log" '{"outage": false}'

request=(-X POST -H 'Cactusshelf-Request-Id: r1' -d work)
digest=$(printf work | sha256sum | cut -d' ' -f1)
expect "digest" "$(curl -s "${request[@]}" "$endpoint/x" | jq -r .digest)" "$digest"
control "$endpoint" '{"close_after_reading": true}'
expect "closed" "$(status "${request[@]}" "$endpoint/x")" 000
control "$endpoint" '{"close_after_reading": false, "cut_body_at": 5}'
expect "cut" "$(curl -s "${request[@]}" "$endpoint/x" | wc -c)" 5
control "$endpoint" '{"cut_body_at": -1, "hold_answers": true}'
curl -s "${request[@]}" "$endpoint/x" >"$dir/held" &
held=$!
sleep 0.2
control "$endpoint" '{"hold_answers": false}'
wait "$held"
expect "held answer" "$(jq -r .request_id "$dir/held")" r1
control "$endpoint" '{"hold_answers": true}'
status --max-time 0.2 "${request[@]}" "$endpoint/x" >/dev/null
control "$endpoint" '{"hold_answers": false, "service_time_ms": 500}'
curl -s "${request[@]}" "$endpoint/x" >/dev/null &
busy=$!
sleep 0.2
curl -s -i "${request[@]}" "$endpoint/x" | grep -qi 'Cactusshelf-Refused: true' || fail "no refusal"
wait "$busy"
control "$endpoint" '{"service_time_ms": 0, "leaving": true}'
expect "leaving" "$(status "${request[@]}" "$endpoint/x")" 503
control "$endpoint" '{"leaving": false}'
expect "executions" "$(curl -s "$endpoint/control/executions" | jq .executions.r1)" 6
# Idle connections take all but one; the refused ones see their connection closed.
for fd in 11 12 13 14 15; do
  eval "exec $fd<>/dev/tcp/127.0.0.1/${endpoint##*:}"
done
sleep 0.2
expect "connection beyond the limit" "$(status "${request[@]}" "$endpoint/x")" 000
for fd in 11 12 13 14 15; do
  eval "exec $fd>&-"
done
sleep 0.2
expect "after the idle connections" "$(status "${request[@]}" "$endpoint/x")" 200

expect "proxied" "$(curl -s "${request[@]}" "$proxy/x" | jq -r .digest)" "$digest"
control "$proxy_control" '{"swallow_answer": true}'
expect "swallowed" "$(curl -s -o /dev/null -w '%{http_code}' --max-time 0.5 "${request[@]}" "$proxy/x" || true)" 000
control "$proxy_control" '{"swallow_answer": false, "cut_after_bytes": 20}'
expect "cut by the proxy" "$(status "${request[@]}" "$proxy/x")" 200
control "$proxy_control" '{"cut_after_bytes": -1, "delay_ms": 300}'
took=$(curl -s -o /dev/null -w '%{time_total}' "${request[@]}" "$proxy/x")
[[ $(jq -n "$took >= 0.6") == true ]] || fail "delay: took $took s"
control "$proxy_control" '{"delay_ms": 0, "bytes_per_second": 200}'
took=$(curl -s -o /dev/null -w '%{time_total}' "${request[@]}" -H "X-Fill: $(printf 'x%.0s' {1..100})" \
  --data "$(printf 'x%.0s' {1..17000})" "$proxy/x" --max-time 2 || true)
[[ $(jq -n "$took >= 2") == true ]] || fail "throttle: took $took s"
control "$proxy_control" '{"bytes_per_second": 0, "stall_probability": 1, "stall_ms": 300}'
took=$(curl -s -o /dev/null -w '%{time_total}' "${request[@]}" "$proxy/x")
[[ $(jq -n "$took >= 0.6") == true ]] || fail "stall: took $took s"
control "$proxy_control" '{"stall_probability": 0, "half_open": true}'
expect "half-open" "$(status --max-time 0.5 "${request[@]}" "$proxy/x")" 000

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
expect "epoch" "$(command '{"type":"install_epoch","id":"c0","epoch":3,"incarnation":0}')" done
expect "start" "$(start_task c1 j/0)" done
expect "repeated start" "$(start_task c1 j/0)" done
expect "overcommit" "$(start_task c2 j/1)" no_capacity
expect "counted" "$(curl -s "$worker/control/history" | jq -c '[.overcommit_attempts, (.events|length)]')" '[1,1]'

control "$hosts" '{"hosts": [{"name": "h1", "state": "leaving"}]}'
expect "lag" "$(curl -s "$hosts/v1/hosts" | jq -c .hosts)" '[]'
sleep 0.4
expect "host" "$(curl -s "$hosts/v1/hosts" | jq -r '.hosts[0].state')" leaving

for pid in "${pids[@]}"; do
  kill "$pid"
  wait "$pid" || fail "process $pid did not exit cleanly"
done
pids=()
echo "stand-ins: all checks passed"
