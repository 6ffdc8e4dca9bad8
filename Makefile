# CONFIG names the configuration file that `make run` starts with.
CONFIG ?= config.json

.PHONY: build test lint run

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

run: build
	BALANCER_CONFIG=$(CONFIG) exec target/release/kitefork
