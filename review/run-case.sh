#!/usr/bin/env bash
# Runs one case: run-case.sh FOLDER CLASS TROUBLE. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With 0 for TROUBLE the disruption is left out.
set -u
folder=$(cd "$1" && pwd)
root=$(cd "$folder/../.." && pwd)
java_home=$("$root/bin/java-home") || exit 2
[ -d "$root/review/out/review" ] || { echo "run review/build.sh first" >&2; exit 2; }
[ -x "$root/target/runtime/bin/java" ] || { echo "build what the deploy file starts first" >&2; exit 2; }
"$java_home/bin/java" -Xmx768m -Dsun.net.httpserver.nodelay=true \
  -cp "$root/review/out:$(printf '%s:' "$root"/target/app/jackson-*.jar)" \
  review.Main "$2" "$root" "$folder" "$3" &
driver=$!
# The driver ends its entries itself, also on TERM.
trap 'kill -TERM $driver 2>/dev/null' INT TERM
wait $driver
code=$?
case $code in 0|1|2) exit $code ;; *) exit 2 ;; esac
