//! Mutations of valid input, for the decoders of what comes from outside.

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use std::env;

/// Environment variable with the number of inputs of each property.
const INPUTS: &str = "BENDSADDLE_FUZZ_INPUTS";
/// Number of inputs if it is not set.
const DEFAULT_INPUTS: u64 = 5_000;
/// Most mutations of an input.
const MAX_MUTATIONS: usize = 4;

/// Number of inputs of each property.
pub fn inputs() -> u64 {
  match env::var(INPUTS) {
    Ok(text) => text.parse().expect("not a number of inputs"),
    Err(_) => DEFAULT_INPUTS,
  }
}

/// The source of the choices for an input.
pub fn rng(seed: u64) -> SmallRng {
  SmallRng::seed_from_u64(seed)
}

/// One of these, with up to four mutations: bytes that are changed, removed, repeated, or cut off, and parts that
/// are put in.
pub fn mutate(rng: &mut SmallRng, valid: &[&str], parts: &[&[u8]]) -> Vec<u8> {
  let chosen = valid.choose(rng).expect("nothing to mutate");
  let mut bytes = chosen.as_bytes().to_vec();
  for _ in 0..rng.random_range(0..=MAX_MUTATIONS) {
    mutate_once(rng, &mut bytes, parts);
  }
  bytes
}

fn mutate_once(rng: &mut SmallRng, bytes: &mut Vec<u8>, parts: &[&[u8]]) {
  let from = rng.random_range(0..=bytes.len());
  let to = rng.random_range(from..=bytes.len().min(from + 16));
  match rng.random_range(0..7) {
    0 if from < bytes.len() => bytes[from] = rng.random(),
    1 if from < bytes.len() => bytes[from] ^= 1 << rng.random_range(0..8),
    2 => drop(bytes.drain(from..to)),
    3 => {
      let repeated = bytes[from..to].to_vec();
      bytes.splice(to..to, repeated);
    }
    4 => bytes.truncate(from),
    _ => {
      let part = parts.choose(rng).expect("no part to put in");
      bytes.splice(from..from, part.iter().copied());
    }
  }
}

/// Splits bytes at random.
pub fn split(rng: &mut SmallRng, mut bytes: &[u8]) -> Vec<Vec<u8>> {
  let mut pieces = Vec::new();
  while !bytes.is_empty() {
    let (piece, rest) = bytes.split_at(rng.random_range(1..=bytes.len().min(24)));
    pieces.push(piece.to_vec());
    bytes = rest;
  }
  pieces
}
