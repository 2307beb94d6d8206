#!/usr/bin/env bash
# Builds the stand-ins of the review's cases into target/review/. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for main in review/*/stand; do
  go build -o "target/review/$(basename "$(dirname "$main")")" "./$main"
done
