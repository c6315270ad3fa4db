#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/. The build of the deploy file comes before.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -o target/review-drill ./review/drill
