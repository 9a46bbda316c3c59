#!/bin/sh
# Everything a change has to pass; see README.md. Limits on files are in crates/core/tests and tools/workspace-checks.
set -eu
cd "$(dirname "$0")"
cargo fmt --all --check
# The feature brings the tests of several processes and faults between their zones; by then the program has been built.
cargo clippy --workspace --all-targets --features maplehook-testbed/places --locked -- -D warnings
set -- --workspace --features maplehook-testbed/places --locked
if [ -e KNOWN-RED.txt ]; then
    .ci/known-red run KNOWN-RED.txt "$@"
else
    cargo test "$@"
fi
RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked --quiet
cargo build --release --locked
