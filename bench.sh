#!/usr/bin/env bash
# Runs one benchmark: ./bench.sh NAME [OPTIONS]; prints a table and name=value lines.
set -euo pipefail
cd "$(dirname "$0")"
if [ $# -lt 1 ]; then
    echo "usage: ./bench.sh NAME [OPTIONS]; names:" >&2
    for source in hemlockrack-bench/src/main/java/org/hemlockrack/bench/*Bench.java; do
        basename "$source" Bench.java | tr '[:upper:]' '[:lower:]' >&2
    done
    exit 2
fi
name="$1"
shift
if ! compgen -G "hemlockrack-bench/target/hemlockrack-bench-*.jar" > /dev/null; then
    mvn -B -q -DskipTests package
fi
exec java ${BENCH_JAVA_OPTS:--Xmx4g} \
    -cp "hemlockrack-bench/target/*:hemlockrack-bench/target/lib/*" \
    "org.hemlockrack.bench.${name^}Bench" "$@"
