//! Measures of an instance that are not reported yet.

use super::{Sample, unit};
use crate::{dispatch::State, request::Ticket};
use std::collections::BTreeMap;

/// Maximum pairs of server and unit between two reports; at 12 streams a second an instance has
/// about four.
const MAX_ENTRIES: usize = 48;

/// Sums by server and unit since the last report: of logarithms, and of measures.
#[derive(Clone, Debug, Default)]
pub(crate) struct Samples(BTreeMap<(u32, u32), (f32, u8)>);

impl Samples {
  /// Adds a measure; beyond the maximum it is dropped, because others represent it.
  pub(crate) fn add(&mut self, server: u32, unit: u32, ln_ms: f32) {
    let key = (server, unit);
    if self.0.len() >= MAX_ENTRIES && !self.0.contains_key(&key) {
      return;
    }
    let (sum, count) = self.0.entry(key).or_default();
    if *count < u8::MAX {
      *sum += ln_ms;
      *count += 1;
    }
  }

  pub(crate) fn take(&mut self) -> Vec<Sample> {
    let entries = std::mem::take(&mut self.0).into_iter();
    entries
      .map(|((server, unit), (sum, count))| {
        Sample::new(server, unit, sum / f32::from(count), count)
      })
      .collect()
  }
}

impl State {
  /// Records the duration of a unit of work at the server that runs a request, in ms.
  pub(crate) fn record_pace(&mut self, ticket: Ticket, ms: f32) {
    let Some(request) = self.requests.get(&ticket).filter(|_| self.features.pace) else {
      return;
    };
    let backend = request.backend.and_then(|key| self.backends.get(key));
    let Some(backend) = backend else {
      return;
    };
    let descriptor = &request.descriptor;
    let model = descriptor.model.as_ref().map(|model| model.name.as_str());
    let unit = unit(&descriptor.pool, model, &descriptor.route.name);
    let server = backend.spec.life().short_hash();
    self.pace_samples.add(server, unit, ms.ln());
  }

  /// Returns the samples since the last call, for the planner.
  pub fn take_pace_samples(&mut self) -> Vec<Sample> {
    self.pace_samples.take()
  }
}
