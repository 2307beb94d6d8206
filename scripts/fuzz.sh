#!/usr/bin/env bash
# Runs every fuzz target of the module for the given time each, one at a time.
set -euo pipefail
cd "$(dirname "$0")/.."
each=${1:-5s}
grep -rlE '^func Fuzz' --include='*_test.go' . | while read -r file; do
  dir=$(dirname "$file")
  grep -oE '^func Fuzz[A-Za-z0-9_]+' "$file" | while read -r _ name; do
    echo "== $dir $name"
    go test -run '^$' -fuzz "^$name\$" -fuzztime "$each" "$dir"
  done
done
