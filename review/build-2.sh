#!/usr/bin/env bash
# Builds the programs of the cases of the second review (review/4 and on) into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
for dir in review/[4-8]; do
  if [ -f "$dir/main.go" ]; then
    go build -o "target/review-2/$(basename "$dir")" "./$dir"
  fi
done
