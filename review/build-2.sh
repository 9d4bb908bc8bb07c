#!/bin/sh
# Builds every stand-in that the scripts in review/6 to review/10 start. Needs no network: the crate has no dependency.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
