#!/bin/sh
# Records the schema of the checked-out commit as that of a build that may run beside later ones. Needs buf on the PATH.
# Run it in a clean checkout of the commit that is in production.
set -eu
cd "$(dirname "$0")/../.."
build=$(git rev-parse --short=7 HEAD)
mkdir -p "testdata/builds/$build"
(cd schema && buf build --exclude-source-info -o "../testdata/builds/$build/schema.binpb")
