#!/bin/bash
# Builds the stand-ins of cases 6 to 10: one program, of the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -C opt-level=2 -o target/review-2/stand-ins-2 review/stand-ins-2/main.rs
