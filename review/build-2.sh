#!/bin/sh
# Builds the stand-ins of the scripts in review/4 to review/6, after the build of deploy/system.toml.
# They use the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/4/standin.rs review/5/standin.rs review/6/standin.rs; do
    [ -f "$source" ] || continue
    name=$(basename "$(dirname "$source")")
    rustc --edition 2021 -O -o "target/review/standin-$name" "$source"
done
