# CONFIG names the configuration file that `make run` starts with.
CONFIG ?= config.json

.PHONY: build test lint run rig fleet fleet-small scale soak

build:
	cargo build --release --locked

test:
	tools/run_tests.sh

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

run: build
	BALANCER_CONFIG=$(CONFIG) exec target/release/kitefork

rig: build
	cargo build --release --locked -p kitefork-rig

# Every scenario with 30 processes of the node: under a minute and a half.
fleet-small: rig
	for file in scenarios/*.toml; do target/release/kitefork-rig run $$file --nodes 30 || exit 1; done

# The same at the size in the files.
fleet: rig
	for file in scenarios/*.toml; do target/release/kitefork-rig run $$file || exit 1; done

# One node with 200 and with 3,200 backends under the same traffic: what it needs may grow only so far.
scale: rig
	target/release/kitefork-rig scale

# Seeds of overlapping troubles over 24 processes, a quarter of a minute each.
SEEDS ?= 20
soak: rig
	cargo build --release --locked -p kitefork-fault-shim
	target/release/kitefork-rig soak --seeds $(SEEDS)
