#!/usr/bin/env bash
# The project's test command: vet, then every test with fixed seeds.
set -euo pipefail
cd "$(dirname "$0")"
export GOFLAGS="${GOFLAGS:-} -buildvcs=false"
unformatted=$(gofmt -l $(git ls-files '*.go' 2>/dev/null || find . -name '*.go'))
[ -z "$unformatted" ] || { echo "not formatted: $unformatted" >&2; exit 1; }
go vet ./...
go test -count=1 -timeout 20m ./...
