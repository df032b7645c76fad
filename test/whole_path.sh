#!/bin/bash
# End-to-end test with separate processes: fake platform, fake upstreams, instances, operator tool, load generator.
set -eu
BUILD=$1
cd "$2"
RUN=$(mktemp -d)
PLATFORM_PORT=11000 CONTROL_PORT=11001 INSTANCE_PORT=11010
. scripts/fleet.sh
trap 'fleet_stop; rm -rf "$RUN"' EXIT
ctl="$BUILD/programs/sapphirectl --platform $PLATFORM"
fail() { echo "FAILED: $1"; exit 1; }
has() { case "$1" in *"$2"*) ;; *) fail "$3: expected '$2' in: $1" ;; esac; }

fleet_start_platform
fleet_start_upstreams --services planner:4x3:2:25,rota:1x2:3:40,washer:1x2:3:40 --mean_ms 5
fleet_start_instances 3
for index in 1 2 3; do fleet_wait_http "127.0.0.1:$((INSTANCE_PORT + index))" /metrics 10; done
post() { curl -sS -X POST "http://127.0.0.1:$((INSTANCE_PORT + $1))$2" -H "X-Request-Id: t" "${@:4}" -d "$3"; }

has "$(post 1 /v1/search '{"class":"inspector","query":"x"}')" not_ready "a search without a configuration"
$ctl check examples/izvorsoft.json
$ctl check examples/granite-chime.json
echo '{"classes": {"a": {"weight": 1}}}' >"$RUN/bad.json"
code=0; $ctl apply "$RUN/bad.json" 2>"$RUN/bad.txt" || code=$?
[ $code = 3 ] || fail "an invalid configuration: expected exit code 3, got $code"
has "$(cat "$RUN/bad.txt")" "weights cannot be set" "the error for a weight"
$ctl --author ana apply examples/izvorsoft.json --wait
fleet_wait_ready 3
has "$(post 1 /v1/search '{"class":"inspector","query":"x","limit":2}')" '"outcome":"ran"' "a search"
has "$(post 2 /v1/search '{"class":"undefined","query":"x"}')" unknown_class "an unknown class"
has "$(post 2 /v1/search 'not json')" malformed "a malformed body"
has "$(head -c 100000 /dev/zero | tr '\0' x | curl -sS -X POST http://127.0.0.1:$((INSTANCE_PORT + 1))/v1/search -H 'Content-Type: application/json' --data-binary @-)" \
  too_large "a body above the limit"
has "$(post 3 /v1/search '{"class":"inspector","query":"x"}' -H 'X-Deadline-Ms: 0')" deadline_passed "a passed deadline"
booking='{"class":"planner","subject":"line 1","booking":{"slot":"8"}}'
has "$(post 1 /v1/book "$booking")" missing_key "a booking without a key"
has "$(post 1 /v1/book "$booking" -H 'Idempotency-Key: k')" '"replayed":false' "a booking"
has "$(post 3 /v1/book "$booking" -H 'Idempotency-Key: k')" '"replayed":true' "the same booking at another instance"
has "$(post 3 /v1/book '{"class":"planner","subject":"line 2","booking":{}}' -H 'Idempotency-Key: k')" key_reused \
  "the same key with another body"
has "$(post 2 /rpc '{"jsonrpc":"2.0","id":1,"method":"scatter","params":{"version":99}}')" error \
  "a peer message of another version"
has "$(post 2 /rpc '{{{{')" error "a malformed peer message"
"$BUILD/programs/sapphireload" --platform "$PLATFORM" --upstreams "$CONTROL" --work inspector:20,book/planner:5 \
  --seconds 3 --quiet --json "$RUN/out.json" --svg "$RUN/out.svg"
has "$(cat "$RUN/out.json")" '"lost" : 0' "the number of lost requests"
has "$(head -c 4 "$RUN/out.svg")" "<svg" "the latency plot"
has "$($ctl status)" "generation 1" "status"
has "$($ctl audit)" "ana  from generation 0" "the audit trail"
has "$($ctl show)" "// generation 1, by ana" "show"
has "$(curl -sS "http://127.0.0.1:$((INSTANCE_PORT + 1))/metrics")" sapphirewind_request_latency_p99_ms "metrics"
curl -fsS -o /dev/null -X POST "http://$PLATFORM/control/faults" -d '{"down":true}'
has "$(post 1 /v1/search '{"class":"inspector","query":"y"}')" '"outcome":"ran"' "a search while the platform is down"
has "$(post 1 /v1/book "$booking" -H 'Idempotency-Key: k2')" '"outcome":"not_run"' "a booking while it is down"
for program in sapphirewindd sapphirectl sapphireload; do
  has "$("$BUILD/programs/$program" --version)" "$program version" "--version of $program"
done
kill -TERM "${INSTANCE_PIDS[1]}"
wait "${INSTANCE_PIDS[1]}" || fail "SIGTERM: expected exit code 0"
echo "end-to-end test passed"
