//! Decisions that a deployment's settings switch on; all are off by default.

use serde::{Deserialize, Serialize};

/// The decisions that are switched on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default, rename_all = "camelCase")]
pub struct Features {
  /// Servers' pace is measured and shared.
  pub pace: bool,
  /// Servers are chosen by the expected time to the first event and between events.
  pub expected_time: bool,
  /// Sends fit into the token memory of engines.
  pub token_memory: bool,
  /// Callers that leave or still wait count for replicas, beside those that were answered.
  pub caller_strain: bool,
  /// Replicas follow the work of prompts and the pauses that callers see; with `caller_strain`.
  pub prompt_work: bool,
  /// What is sent beyond a server's slots is bounded; the rest waits at its instance.
  pub bounded_sends: bool,
  /// Times of return that refusals for quota state are kept, so that no more callers are invited than
  /// fit.
  pub returns: bool,
  /// Bytes held for slow readers are bounded.
  pub reader_bounds: bool,
}
