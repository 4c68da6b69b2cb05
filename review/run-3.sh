#!/usr/bin/env bash
# Runs the case whose folder and class are given; 0: the rule held, 1: it was broken, 2: the case could not run.
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
CASE=$(cd "$1" && pwd)
export CASE ROOT="$root"
if [ ! -x "$root/target/runtime/bin/java" ] || [ ! -d "$root/target/review-3" ]; then
  echo "build first: bin/build-image, then review/build-3.sh" >&2
  exit 2
fi
java_home=$("$root/bin/java-home")
timeout -k 5 115 "$java_home/bin/java" -Xmx512m -Dsun.net.httpserver.nodelay=true -cp "$root/target/review-3" Run "$2"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
