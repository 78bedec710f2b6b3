#!/bin/sh
# Builds the stand-ins that the scripts of this folder start. It needs only the
# standard library.
set -eu
cd "$(dirname "$0")"
mkdir -p ../target
GOFLAGS=-mod=mod GOWORK=off go build -o ../target/review-standin ./standin
