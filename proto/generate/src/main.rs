//! Writes src/wire.rs from proto/peer.proto; run by `just generate`.

fn main() -> Result<(), Box<dyn std::error::Error>> {
  tonic_prost_build::configure()
    .out_dir("src")
    .compile_protos(&["proto/peer.proto"], &["proto"])?;
  std::fs::rename("src/bendsaddle.peer.rs", "src/wire.rs")?;
  Ok(())
}
