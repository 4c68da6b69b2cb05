#!/usr/bin/env bash
# See claim.txt.
exec "$(dirname "$0")/../run-case.sh" "$(dirname "$0")" ForeignQueue
