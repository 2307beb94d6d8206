#!/usr/bin/env bash
# Measures policies under load and faults with real processes on loopback.
#   scripts/measure.sh full|quick [experiment...]
# Without names: quick runs detection alone (under 50 s), full runs every
# experiment. Results go to standard output and to out/.
set -euo pipefail
cd "$(dirname "$0")/.."

mode=${1:-quick}
shift || true
case $mode in full | quick) ;; *)
  echo "measure: want full or quick, got $mode" >&2
  exit 2
  ;;
esac
names=("$@")
if [ ${#names[@]} -eq 0 ]; then
  names=(detection)
  [ "$mode" = quick ] || mapfile -t names < <(bin/wigeonmeasure list)
fi
export WIGEON_TOKEN=demo-operator # measurement only, loopback only

dir=$(mktemp -d)
pids=()

stop_all() {
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
  pids=()
}

cleanup() {
  local code=$?
  trap - EXIT INT TERM
  stop_all
  if [ "$code" -ne 0 ]; then
    echo "measure: FAILED; the last lines of the logs:" >&2
    tail -qn 2 "$dir"/*/*/router-1.log 2>/dev/null | tail -n 12 >&2 || true
  fi
  rm -rf "$dir"
  exit "$code"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

start() {
  local log=$1
  shift
  "$@" >"$log" 2>&1 &
  pids+=("$!")
}

# until_ok WHAT COMMAND...: polls for at most 20 s.
until_ok() {
  local what=$1 tries=200
  shift
  until "$@" >/dev/null 2>&1; do
    tries=$((tries - 1))
    [ "$tries" -gt 0 ] || {
      echo "measure: out of time: $what" >&2
      exit 1
    }
    sleep 0.1
  done
}

# configure FLEET: applies the intents through the fleet's first router.
configure() {
  local admins
  admins=$(cat "$1/admins")
  until_ok "administration API of $1" bin/wigeonctl --admin "$admins" status
  bin/wigeonctl --admin "$admins" apply -f "$1/intents.json" --yes --wait-timeout 15s >"$1/apply.log" 2>&1 || {
    local code=$?
    echo "measure: apply in $1: exit code $code" >&2
    cat "$1/apply.log" >&2
    return "$code"
  }
}

measure() {
  local at=$dir/$1
  local with=(--experiment "$1" --mode "$mode" --dir "$at")
  mkdir -p "$at"
  bin/wigeonmeasure plan "${with[@]}"
  local fleets fleet waits=()
  mapfile -t fleets <"$at/fleets"
  for fleet in "${fleets[@]}"; do
    start "$at/$fleet/fakes.log" bin/wigeonfakes --config "$at/$fleet/fakes.json" --ports "$at/$fleet/ports.json"
  done
  for fleet in "${fleets[@]}"; do
    until_ok "stand-ins of $fleet" test -s "$at/$fleet/ports.json"
  done
  bin/wigeonmeasure settings "${with[@]}"
  for fleet in "${fleets[@]}"; do
    [ -s "$at/$fleet/admins" ] || continue # a fleet without routers
    local file
    for file in "$at/$fleet"/router-*.json; do
      start "${file%.json}.log" bin/wigeond --config "$file"
    done
  done
  for fleet in "${fleets[@]}"; do
    [ -s "$at/$fleet/admins" ] || continue
    configure "$at/$fleet" &
    waits+=("$!")
  done
  local pid
  for pid in "${waits[@]}"; do
    wait "$pid"
  done
  bin/wigeonmeasure run "${with[@]}" --out out
  stop_all
}

for name in "${names[@]}"; do
  measure "$name"
done
echo "measure: done in $SECONDS s"
