#!/usr/bin/env bash
# Builds the stand-ins and cases of review/11 to review/15 under target/review-3.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
java_home=$("$root/bin/java-home")
rm -rf "$root/target/review-3"
mkdir -p "$root/target/review-3"
"$java_home/bin/javac" --release 21 -d "$root/target/review-3" "$root"/review/standin-3/*.java "$root"/review/1[1-5]/*.java
