#!/usr/bin/env bash
# Regenerates the committed Thrift code. Needs thrift 0.17 (Debian package thrift-compiler).
set -euo pipefail
cd "$(dirname "$0")/../hemlockrack-wire"
rm -rf src/generated/java/org
for idl in src/main/thrift/*.thrift; do
    thrift --gen java:generated_annotations=suppress,private_members -out src/generated/java "$idl"
done
