#!/bin/sh
# Prints the command reference from the command trees. CI compares it with docs/COMMANDS.md.
set -e
echo "# Command reference"
echo
echo "Made from the command trees by docs/commands.sh. Exit codes: 0 done, 1 refused or a check failed, 2 usage, 3 outcome of a change unknown, 4 no instance reached."
echo
go run ./cmd/cuminlift docs
go run ./cmd/cuminliftd docs
go run ./cmd/cuminlift-standin docs
go run ./cmd/cuminlift-gateway docs
