#!/bin/sh
# Builds the stand-ins of the cases, after the build of the deploy file. Needs rustc alone.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for source in standin/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = common ] && continue
    rustc --edition 2021 -O -o "bin/$name" "$source"
done
