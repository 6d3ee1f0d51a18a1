#!/bin/sh
# Builds the stand-in of the cases 4 to 8, without a network: its packages are those of the project's lock file.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
cargo build --release --locked --offline --manifest-path "$root/review/standin-2/Cargo.toml" --target-dir "$root/target/review-2"
