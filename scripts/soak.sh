#!/usr/bin/env bash
# Mixes all faults on a small fleet: soak.sh [LENGTH [SEED]]. Fails when a promise is broken.
set -euo pipefail
cd "$(dirname "$0")/.."
SOAK=${1:-10m} SOAK_SEED=${2:-1} go test ./internal/proof/scenario -run TestSoak -count=1 -timeout 30m -v
