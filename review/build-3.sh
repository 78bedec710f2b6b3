#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, from the repository's root or elsewhere, without a network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
cd review/standin-3
GOFLAGS= GOWORK=off go build -o ../../target/review-3/standin3 .
