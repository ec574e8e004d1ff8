#!/usr/bin/env bash
# The project's test command: format, vet and staticcheck, then every test with fixed seeds. Tests
# listed in KNOWN-RED.txt, if there is one, may fail; they are printed.
set -euo pipefail
cd "$(dirname "$0")"
export GOFLAGS="${GOFLAGS:-} -buildvcs=false"
unformatted=$(gofmt -l $(git ls-files '*.go' 2>/dev/null || find . -name '*.go'))
[ -z "$unformatted" ] || { echo "not formatted: $unformatted" >&2; exit 1; }
go vet ./...
go tool staticcheck ./...
./proof/knownred/gotest.sh -count=1 -timeout 20m ./...
