#!/bin/bash
# Tests the command line of sapphirewind: checking settings, starting, inspecting its state, stopping.
set -eu
BUILD=$1
RUN=$(mktemp -d)
pid=""
trap '[ -n "$pid" ] && kill "$pid" 2>/dev/null; rm -rf "$RUN"' EXIT
program=$BUILD/programs/sapphirewind
fail() { echo "FAILED: $1"; exit 1; }
has() { case "$1" in *"$2"*) ;; *) fail "$3: expected '$2' in: $1" ;; esac; }
base=11100
settings() {
  cat <<EOF
{ // Nothing listens at the store's address.
  "instance": "one", "zone": "a", "regions": {"a": "r"}, "listen_callers": "127.0.0.1:$base",
  "listen_status": "127.0.0.1:$((base + 1))", "listen_metrics": "127.0.0.1:$((base + 2))",
  "listen_peers": "127.0.0.1:$((base + 3))", "store": "127.0.0.1:$((base + 4))", "max_descriptors": 400,
  "extra_share": 0.2, "extra_minimum": 50, "extra_window": "10s", "stability_window": "5000ms", "drain": "4000ms", "stop_within": "6s"
}
EOF
}
settings >"$RUN/good.json"
"$program" --settings "$RUN/good.json" --check_settings >/dev/null || fail "valid settings do not pass --check_settings"
settings | sed 's/"store": "[^"]*"/"store": 7/; s/"6s"/"6 bytes"/; s/"zone"/"zome"/' >"$RUN/bad.json"
code=0
"$program" --settings "$RUN/bad.json" --check_settings 2>"$RUN/problems.txt" || code=$?
[ $code = 2 ] || fail "invalid settings: expected exit code 2, got $code"
for field in store stop_within zone zome; do has "$(cat "$RUN/problems.txt")" "$field" "invalid settings"; done
code=0
"$program" 2>/dev/null || code=$?
[ $code = 2 ] || fail "no settings: expected exit code 2, got $code"
has "$("$program" --version)" sapphirewind "--version"

"$program" --settings "$RUN/good.json" >"$RUN/log" &
pid=$!
state=""
for _ in $(seq 100); do
  state=$("$BUILD/programs/sapphirectl" --instance "127.0.0.1:$((base + 2))" beliefs 2>/dev/null) && break
  sleep 0.1
done
has "$state" '"version" : 0' "state without a configuration"
has "$state" '"ready" : false' "readiness without a configuration"
kill -TERM "$pid"
wait "$pid" || fail "SIGTERM: expected exit code 0"
pid=""
has "$(cat "$RUN/log")" '"event":"E0100","name":"Started"' "log line for the start"
has "$(cat "$RUN/log")" '"event":"E0210","name":"StoreLost"' "log line for the unreachable store"
has "$(cat "$RUN/log")" '"event":"E0104","name":"Stopped"' "log line for the stop"
echo "program test passed"
