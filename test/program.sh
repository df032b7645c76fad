#!/bin/bash
# The program of the users' platform from its command line: settings checked, served, inspected, stopped.
set -eu
BUILD=$1
RUN=$(mktemp -d)
pid=""
trap '[ -n "$pid" ] && kill "$pid" 2>/dev/null; rm -rf "$RUN"' EXIT
program=$BUILD/programs/sapphirewind
fail() { echo "FAILED: $1"; exit 1; }
has() { case "$1" in *"$2"*) ;; *) fail "$3: $1" ;; esac; }
base=11100
settings() {
  cat <<EOF
{ // Nothing listens at the store's address.
  "instance": "one", "zone": "a", "regions": {"a": "r"}, "listen_callers": "127.0.0.1:$base",
  "listen_status": "127.0.0.1:$((base + 1))", "listen_metrics": "127.0.0.1:$((base + 2))",
  "listen_peers": "127.0.0.1:$((base + 3))", "store": "127.0.0.1:$((base + 4))", "max_descriptors": 400,
  "extra_share": 0.2, "extra_minimum": 50, "stability_window": "5000ms", "drain": "4000ms", "stop_within": "6s"
}
EOF
}
settings >"$RUN/good.json"
"$program" --settings "$RUN/good.json" --check_settings >/dev/null || fail "good settings pass"
settings | sed 's/"store": "[^"]*"/"store": 7/; s/"6s"/"6 parsecs"/; s/"zone"/"zome"/' >"$RUN/bad.json"
code=0
"$program" --settings "$RUN/bad.json" --check_settings 2>"$RUN/faults.txt" || code=$?
[ $code = 2 ] || fail "bad settings exit with 2, not $code"
for field in store stop_within zone zome; do has "$(cat "$RUN/faults.txt")" "$field" "each fault is named"; done
code=0
"$program" 2>/dev/null || code=$?
[ $code = 2 ] || fail "no settings exit with 2, not $code"
has "$("$program" --version)" sapphirewind "--version"

"$program" --settings "$RUN/good.json" >"$RUN/log" &
pid=$!
answered=""
for _ in $(seq 100); do
  answered=$("$BUILD/programs/sapphirectl" --instance "127.0.0.1:$((base + 2))" beliefs 2>/dev/null) && break
  sleep 0.1
done
has "$answered" '"version" : 0' "no configuration is believed"
has "$answered" '"ready" : false' "it is not ready"
kill -TERM "$pid"
wait "$pid" || fail "a stop exits with 0"
pid=""
has "$(cat "$RUN/log")" '"event":"E0100","name":"Started"' "the start is logged"
has "$(cat "$RUN/log")" '"event":"E0210","name":"StoreLost"' "the lost store is logged"
has "$(cat "$RUN/log")" '"event":"E0104","name":"Stopped"' "the stop is logged"
echo "the program holds"
