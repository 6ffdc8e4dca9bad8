# CONFIG names the configuration file that `make run` starts with.
CONFIG ?= config.json

.PHONY: build test lint run testbed fleet fleet-small scale soak

build:
	cargo build --release --locked

test:
	tools/run_tests.sh

# Formatting, clippy and rustdoc without warnings, and pages that name only what exists.
lint:
	cargo fmt --all --check
	tools/check_line_lengths.sh
	cargo clippy --workspace --all-targets --locked -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked --document-private-items
	tools/check_pages.py --self-test
	tools/check_pages.py

run: build
	BALANCER_CONFIG=$(CONFIG) exec target/release/kitefork

testbed: build
	cargo build --release --locked -p kitefork-testbed

# Every scenario with 30 processes of the node: under a minute and a half.
fleet-small: testbed
	for file in scenarios/*.toml; do target/release/kitefork-testbed run $$file --nodes 30 || exit 1; done

# The same at the size in the files.
fleet: testbed
	for file in scenarios/*.toml; do target/release/kitefork-testbed run $$file || exit 1; done

# One node with 200 and with 3,200 backends under the same traffic: what it needs may grow only so far.
scale: testbed
	target/release/kitefork-testbed scale

# Seeds of overlapping faults over 24 processes, a quarter of a minute each.
SEEDS ?= 20
soak: testbed
	cargo build --release --locked -p kitefork-fault-shim
	target/release/kitefork-testbed soak --seeds $(SEEDS)
