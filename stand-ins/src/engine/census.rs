//! Compares the replicas on engines with the records of the platform.

use super::Engine;
use crate::platform::Platform;
use bendsaddle::replica::Target;
use std::collections::BTreeMap;

/// One message for each model that has more replicas on the engines than its
/// platform record lists.
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

/// Number of replicas of a model whose target in the platform record is `Loaded`.
pub fn target_loaded(platform: &Platform, model: &str) -> usize {
  let record = platform.record(model);
  let replicas = record.replicas.iter();
  replicas
    .filter(|replica| replica.target == Target::Loaded)
    .count()
}
