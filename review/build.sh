#!/usr/bin/env bash
# Builds the stand-ins of the review into bin/, after the build of deploy/balancer.toml.
set -euo pipefail
cd "$(dirname "$0")/rig"
mkdir -p ../../bin
go build -o ../../bin/review-rig .
