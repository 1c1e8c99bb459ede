# Development recipes.

default:
  @just --list

# Everything CI runs.
ci:
  .ci/run

fmt:
  cargo fmt --all

lint:
  cargo clippy --workspace --all-targets --locked -- -D warnings

test *args:
  cargo test --workspace --locked {{args}}

demo:
  cargo run --locked -p stand-ins -- demo

# Write src/wire.rs anew from proto/peer.proto; needs protoc.
generate:
  cargo run --manifest-path proto/generate/Cargo.toml --target-dir target/generate
  cargo fmt --all
