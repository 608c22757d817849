#!/usr/bin/env bash
# Runs gateways and controllers under random faults: ./soak.sh [--seeds N] [--seconds S] ...
set -euo pipefail
cd "$(dirname "$0")"
if ! compgen -G "hemlockrack-soak/target/hemlockrack-soak-*.jar" > /dev/null; then
    mvn -B -q -DskipTests package
fi
exec java -Xmx512m \
    -cp "hemlockrack-soak/target/*:hemlockrack-soak/target/lib/*" \
    org.hemlockrack.soak.Soak "$@"
