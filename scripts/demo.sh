#!/usr/bin/env bash
# Streams one long changelog summary through three routers while its engine and
# then its router are killed, and checks the whole answer. Ends by itself within
# 45 s; exit code 0 only if the check holds and both losses happened.
set -euo pipefail
cd "$(dirname "$0")/.."

limit=42 # seconds for all, so that the end comes within 45
tokens=700
control=http://127.0.0.1:19100
routers=(http://127.0.0.1:19201 http://127.0.0.1:19211 http://127.0.0.1:19221)
admins=127.0.0.1:19202,127.0.0.1:19212,127.0.0.1:19222
key=demo-changelog
export WIGEON_TOKEN=demo-operator # demonstration only; its hash is in examples/demo
export WIGEON_API_KEY=demo-key    # demonstration only

dir=$(mktemp -d)
pids=()
declare -A router_pid

cleanup() {
  local code=$?
  trap - EXIT INT TERM
  for pid in "${pids[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
  if [ "$code" -ne 0 ]; then
    echo "demo: FAILED; the last lines of each log:"
    tail -n 15 "$dir"/*.log || true
  fi
  rm -rf "$dir"
  exit "$code"
}
trap cleanup EXIT
trap 'exit 130' INT TERM

fail() {
  echo "demo: $*" >&2
  exit 1
}

# until_ok WHAT COMMAND...: polls until the command succeeds.
until_ok() {
  local what=$1
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$limit" ] || fail "out of time: $what"
    sleep 0.1
  done
}

start() {
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  last=$!
  pids+=("$last")
}

tokens_reached() {
  local n
  n=$(grep -c '^tokens ' "$dir/stream.log" || true)
  kill -0 "$stream" 2>/dev/null || fail "the stream ended before the failure was made"
  [ $((n * 10)) -ge "$1" ]
}

start fakes bin/wigeonfakes --config examples/fakes-demo.json
until_ok "stand-ins" curl -fsS "$control/control/ports"
for i in 1 2 3; do
  start "entry-$i" bin/wigeond --config "examples/demo/entry-$i.json"
  router_pid[${routers[$((i - 1))]}]=$last
done

until_ok "administration API" bin/wigeonctl --admin "$admins" status
bin/wigeonctl --admin "$admins" apply -f examples/demo/intents.json --yes --wait-timeout 15s
for admin in ${admins//,/ }; do
  until_ok "readiness of $admin" curl -fsS "http://$admin/readyz"
done

args=()
for r in "${routers[@]}"; do
  args+=(--endpoint "$r")
done
start stream bin/wigeonload "${args[@]}" --record "$control/control/record" \
  one --prompt-file examples/demo/changelog.txt --tokens "$tokens" --key "$key" \
  --timeout-ms 30000 --progress 10
stream=$last

until_ok "150 tokens" tokens_reached 150
engine=$(bin/wigeonload --record "$control/control/record" who --key "$key")
echo "demo: killing engine $engine in mid-stream"
curl -fsS -X POST "$control/control/$engine/kill" >/dev/null

until_ok "400 tokens" tokens_reached 400
router=$(grep '^connected ' "$dir/stream.log" | tail -n 1 | cut -d ' ' -f 2)
echo "demo: killing router $router (process ${router_pid[$router]}) in mid-stream"
kill -KILL "${router_pid[$router]}"
wait "${router_pid[$router]}" 2>/dev/null || true # keeps the shell from reporting the death

stream_ended() { ! kill -0 "$stream" 2>/dev/null; }
until_ok "end of the stream" stream_ended
code=0
wait "$stream" || code=$?
grep -v '^tokens ' "$dir/stream.log"
[ "$code" -eq 0 ] || fail "the check does not hold"
grep -q '^loss  *engine ' "$dir/stream.log" || fail "the record shows no resume on another engine"
grep -q '^loss  *router ' "$dir/stream.log" || fail "the caller saw no loss of a router"
echo "demo: the check holds ($SECONDS s)"
