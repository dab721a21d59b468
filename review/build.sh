#!/bin/sh
# Builds the stand-ins of the cases with the standard library alone, into target/review.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[0-9]; do
    [ -f "$case/case.rs" ] || continue
    rustc --edition 2021 -O -A dead_code -A unused_imports -o "target/review/case-${case##*/}" "$case/case.rs"
done
