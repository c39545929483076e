#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: one program without dependencies. Run it after the build of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/cases review/standin-2/main.rs
