#!/bin/sh
# Builds the stand-ins that the scripts start. Run it in the repository's root, after the deploy file's build.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
GOWORK=off GOFLAGS=-mod=mod go build -o "${OUT:-target/review-harness}" review/harness/*.go
