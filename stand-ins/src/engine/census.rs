//! Replicas on engines against the records of the platform.

use super::Engine;
use crate::platform::Platform;
use bendsaddle::replica::Target;
use std::collections::BTreeMap;

/// Whether every replica on the engines is decided by its record, and no model
/// has more than its record holds.
pub fn census(platform: &Platform, engines: &[Engine]) -> Vec<String> {
  let mut faults = Vec::new();
  let mut loaded: BTreeMap<String, usize> = BTreeMap::new();
  for engine in engines {
    for (model, _) in engine.residents() {
      *loaded.entry(model).or_default() += 1;
    }
  }
  for (model, count) in loaded {
    let decided = platform.record(&model).replicas.len();
    if count > decided {
      faults.push(format!("{model}: {count} loaded, {decided} decided"));
    }
  }
  faults
}

/// Replicas of a model that its record wants loaded.
pub fn target_loaded(platform: &Platform, model: &str) -> usize {
  let record = platform.record(model);
  let replicas = record.replicas.iter();
  replicas
    .filter(|replica| replica.target == Target::Loaded)
    .count()
}
