#!/bin/sh
# Builds the stand-in of the review's scripts into target/. It needs no network.
set -eu
cd "$(dirname "$0")/.."
root=$(pwd)
mkdir -p target
printf '{"Replace": {"%s/review/drive/main.go": "%s/review/testdata/drive/main.go.txt"}}\n' "$root" "$root" >target/review-overlay.json
go build -overlay target/review-overlay.json -o target/review-drive ./review/drive
