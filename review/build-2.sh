#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start.
set -euo pipefail
cd "$(dirname "$0")/rig2"
mkdir -p ../../bin
go build -buildvcs=false -o ../../bin/rig2 .
