//! The job that loads or unloads one replica.

use crate::replica::Replica;

/// Steps of a job in their normal order; a failure leads back to an earlier step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
  /// Check whether the model record contains the replica of a reservation found in a
  /// server record.
  Inspect,
  /// Write the decision into the model record.
  Decide,
  /// Reserve memory and obtain a fencing token in the server record.
  Reserve,
  /// Poll the engine for idle replicas that can be evicted.
  Evict,
  /// Read the decision again before the load order.
  Verify,
  /// Order the load.
  Load,
  /// Wait until the engine reports the replica ready.
  AwaitReady,
  /// Remove this process from the orderers of the reservation.
  Deregister,
  /// Withdraw the decision.
  Retire,
  /// Wait until no instance sends requests to the replica.
  Drain,
  /// Switch the reservation to unloading.
  MarkUnloading,
  /// Order the unload.
  Unload,
  /// Wait until the engine reports the replica gone.
  AwaitGone,
  /// Release the reserved memory.
  Release,
  /// Remove the replica from the model record.
  Drop,
}

/// Loads or unloads one replica.
#[derive(Clone, Debug)]
pub struct Job {
  pub model: String,
  pub replica: Replica,
  pub step: Step,
  /// Incremented with every action, so that late responses are recognized.
  pub number: u64,
  /// Time in ms of the next action.
  pub due: u64,
  /// Consecutive failures, or polls in a step that waits for the engine.
  pub failures: u32,
  /// Time in ms at which the current step started.
  pub step_started_at: u64,
  /// Time in ms at which the job started.
  pub started_at: u64,
  /// Time in ms at which the load is abandoned.
  pub load_deadline: u64,
  /// Whether the job started with the decision, so that the replica has not served
  /// requests before.
  pub is_new: bool,
  /// Latest fencing token; 0 before the reservation.
  pub fence: u64,
  /// Time in ms until which an order of this instance or of an ended orderer may still arrive
  /// at the engine.
  pub in_flight_until: u64,
  /// Maximum number of replicas under the policy, checked by the decision.
  pub limit: u32,
  /// Orderers that are known to have ended.
  pub ended_orderers: Vec<String>,
  /// Time in ms of the last request to read the decision.
  pub decision_read_at: u64,
}

impl Job {
  /// Whether the job loads rather than unloads.
  pub fn is_loading(&self) -> bool {
    self.step < Step::Retire
  }
}
