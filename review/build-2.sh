#!/bin/bash
# Builds the stand-ins of the second review into target/review-2.
set -e
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-2/standin2 .
