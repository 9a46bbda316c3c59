#!/bin/sh
# Everything a change has to pass; see README.md. The limits of the decision module are in tests/limits.rs.
set -eu
cd "$(dirname "$0")"
cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
cargo test --workspace --locked
# Several processes and faults between their zones; the program has been built for the tests above.
cargo test -p maplehook-rig --features places --test places --test trips --locked
RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked --quiet
cargo build --release --locked
