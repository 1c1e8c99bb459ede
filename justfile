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

# All tests but the known failures, which are printed and played alone.
test-all:
  .ci/test

demo:
  cargo run --locked -p stand-ins -- demo

# Write src/wire.rs anew from proto/peer.proto; needs protoc.
generate:
  cargo run --manifest-path proto/generate/Cargo.toml --target-dir target/generate
  cargo fmt --all

release:
  cargo build --release --workspace --locked

# Added latency, memory at 500 streams, push against share.
bench: release
  target/release/stand-ins bench --program target/release/bendsaddle

# Policies against baselines; three seeds of about half a minute each.
trace *policies: release
  target/release/stand-ins trace --program target/release/bendsaddle --seeds 3 {{policies}}

# A fleet of 16, 64 and 256 servers through the pure planner: steps, decisions, orders.
plan *args: release
  target/release/stand-ins plan {{args}}

# Slopes; the output belongs into docs/capacity.json.
capacity *parts: release
  target/release/stand-ins capacity --program target/release/bendsaddle {{parts}}

# Recovery times of faults.
faults: release
  target/release/stand-ins faults --program target/release/bendsaddle

# Check the example deployments.
examples:
  cargo run --locked -- check examples/*/*.jsonc

# The table of docs/CAPACITY.md; fails when a slope breaks a limit.
budget:
  cargo run --locked -p stand-ins -- budget docs/capacity.json

# One instance between stand-ins of the users' platform.
platform:
  cargo test --locked -p bendsaddle-platform

# Random faults against real instances, by seed: `just soak --seed 1 --seed 2`, or
# `just soak --seconds 300` for fresh seeds.
soak *args: release
  target/release/soak --program target/release/bendsaddle-platform {{args}}

# Each switch that breaks a mechanism must be noticed.
soak-switches: release
  for name in repeat lie mix lease grace deaf leave memory patience policy limit say rest build; do \
    target/release/soak --program target/release/bendsaddle-platform --seed 7 --break $name || exit 1; \
  done

# Lines of the soak beside all lines.
soak-size:
  git ls-files 'soak/src/*.rs' | xargs cat | wc -l
  git ls-files '*.rs' | xargs cat | wc -l
