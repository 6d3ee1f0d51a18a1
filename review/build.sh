#!/usr/bin/env bash
# Builds the stand-ins of the cases. They use the standard library alone, so nothing is fetched.
set -euo pipefail
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review cargo build --release --locked --offline --manifest-path review/standin/Cargo.toml
