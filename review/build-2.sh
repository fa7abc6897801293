#!/usr/bin/env bash
# Builds the cases and their stand-ins. They use the standard library only, so that no network is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/kit2/Cargo.toml --target-dir target/review-2
