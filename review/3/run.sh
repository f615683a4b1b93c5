#!/usr/bin/env bash
# Plays the case shutdown-second. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. Needs bin/ from the build of deploy/balancer.toml and from review/build.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd)
repository=$(cd "$here/../.." && pwd)
if [ ! -x "$repository/bin/gateway" ] || [ ! -x "$repository/bin/review-rig" ]; then
  echo "run the build of deploy/balancer.toml and review/build.sh first" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
# The rig kills the gateways that it has started before it exits, also if it is terminated.
timeout 115 "$repository/bin/review-rig" shutdown-second "$repository" "$folder" "$here/record.txt" &
rig=$!
trap 'kill "$rig"' INT TERM
wait "$rig"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
