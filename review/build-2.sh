#!/usr/bin/env bash
# Builds what the scripts of the second review start besides the program of the deploy file: the stand-ins
# of the platform, its replicas and its consumers. It needs Go and the modules of the repository.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go test -c -o target/review-2/rig2 ./review/rig2
