#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 it does the
# same without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
if [ ! -x bin/gateway ] || [ ! -x bin/rig2 ]; then
  echo "bin/gateway or bin/rig2 is missing: run the build of deploy/balancer.toml and review/build-2.sh" | tee "$here/record.txt"
  exit 2
fi
exec bin/rig2 slots "$here/record.txt"
