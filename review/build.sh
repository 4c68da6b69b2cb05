#!/usr/bin/env bash
# Compiles the stand-ins and the cases of the review to review/out. Needs a JDK and the build of the deploy file, whose
# target/app holds the JSON library. Needs no network.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
java_home=$("$root/bin/java-home")
rm -rf "$root/review/out"
mkdir -p "$root/review/out"
"$java_home/bin/javac" --release 21 -Xlint:all -cp "$(printf '%s:' "$root"/target/app/jackson-*.jar)" \
  -d "$root/review/out" "$root"/review/src/review/*.java
