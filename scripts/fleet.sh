# Functions that start and stop a local query tier with a fake platform and fake upstreams. Sourced by the demo, the
# benchmarks and test/whole_path.sh.
# Requires BUILD (the build folder) and RUN (a folder for settings and logs).

PLATFORM_PORT=${PLATFORM_PORT:-7000}
CONTROL_PORT=${CONTROL_PORT:-7100}
INSTANCE_PORT=${INSTANCE_PORT:-7300}
PLATFORM=127.0.0.1:$PLATFORM_PORT
CONTROL=127.0.0.1:$CONTROL_PORT
FLEET_PIDS=()

fleet_wait_http() { # ADDRESS PATH SECONDS
  local end=$((SECONDS + $3))
  until curl -fsS -o /dev/null "http://$1$2" 2>/dev/null; do
    [ $SECONDS -ge $end ] && { echo "no successful response from http://$1$2 within $3 s" >&2; return 1; }
    sleep 0.1
  done
}

fleet_start_platform() {
  "$BUILD/fakes/fake-platform" --listen "$PLATFORM" >"$RUN/platform.log" 2>&1 &
  FLEET_PIDS+=($!)
  fleet_wait_http "$PLATFORM" /control/calls 10
}

fleet_start_upstreams() { # FLAGS...
  "$BUILD/fakes/fake-upstreams" --platform "$PLATFORM" --control "$CONTROL" "$@" >"$RUN/upstreams.log" 2>&1 &
  FLEET_PIDS+=($!)
  fleet_wait_http "$CONTROL" /control/record 20
}

fleet_list_instances() { # COUNT
  local list="" index
  for index in $(seq 1 "$1"); do
    list+="${list:+,}{\"name\":\"i$index\",\"address\":\"127.0.0.1:$((INSTANCE_PORT + index))\",\"region\":\"r1\",\"zone\":\"r1a\",\"leaving\":false}"
  done
  curl -fsS -o /dev/null -X POST "http://$PLATFORM/control/force" -H 'Content-Type: application/json' \
    -d "{\"name\":\"tier/instances\",\"value\":{\"instances\":[$list]}}"
}

fleet_start_instance() { # NUMBER [EXTRA JSON MEMBERS]
  cat >"$RUN/i$1.json" <<EOF
// Settings of instance $1.
{
  "name": "i$1",
  "region": "r1",
  "availability_zone": "r1a",
  "listen": "127.0.0.1:$((INSTANCE_PORT + $1))",
  "platform": "$PLATFORM",
  "balancer_lag": "${BALANCER_LAG:-1s}",
  "log_file": "$RUN/i$1.log"${2:+, $2}
}
EOF
  "$BUILD/programs/sapphirewindd" --settings "$RUN/i$1.json" >>"$RUN/i$1.out" 2>&1 &
  FLEET_PIDS+=($!)
  INSTANCE_PIDS[$1]=$!
}

fleet_start_instances() { # COUNT [EXTRA JSON MEMBERS]
  local index
  declare -gA INSTANCE_PIDS
  fleet_list_instances "$1"
  for index in $(seq 1 "$1"); do
    fleet_start_instance "$index" "${2:-}"
  done
}

fleet_wait_ready() { # COUNT
  local index
  for index in $(seq 1 "$1"); do
    fleet_wait_http "127.0.0.1:$((INSTANCE_PORT + index))" /ready 20 || return 1
  done
}

fleet_stop() {
  local pid
  for pid in "${FLEET_PIDS[@]}"; do
    kill -9 "$pid" 2>/dev/null || true
  done
  wait "${FLEET_PIDS[@]}" 2>/dev/null || true
  FLEET_PIDS=()
}
