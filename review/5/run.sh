#!/usr/bin/env bash
# Processes are stopped and started in turn while requests wait for servers that are busy.
# TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
if [ ! -x target/review/harness ] || [ ! -x target/cuminlift-gateway ]; then
  echo "run the build of deploy/system.toml and review/build.sh first"
  exit 2
fi
exec target/review/harness -case stop -gateway target/cuminlift-gateway -record "$here/record.txt"
