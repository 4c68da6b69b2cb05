#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases 6 to 10 into target/review-2. The build of the deploy file comes
# before it: the stand-ins use its JSON library.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
home=$("$root/bin/java-home")
cd "$root"
jars=$(printf '%s:' target/app/jackson-annotations-*.jar target/app/jackson-core-*.jar target/app/jackson-databind-*.jar)
rm -rf target/review-2
mkdir -p target/review-2
"$home/bin/javac" -nowarn -d target/review-2 -cp "$jars" review/standin-2/*.java $(ls review/{6,7,8,9,10}/Case*.java 2> /dev/null)
printf '%s%s\n' "$jars" target/review-2 > target/review-2/classpath
