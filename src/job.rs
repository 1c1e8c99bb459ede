//! The work on one replica: from a decision to a loaded replica, or back.

use crate::replica::Replica;

/// Steps of a job, in order; a failed step goes back to an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
  /// Look whether a reservation found in a server record is decided at all.
  Inspect,
  /// Write the decision into the model record.
  Decide,
  /// Reserve memory and a fencing number in the server record.
  Reserve,
  /// Ask the engine which idle replicas could give way.
  MakeRoom,
  /// Read the decision once more.
  Verify,
  /// Order the load.
  Load,
  /// Wait until the engine shows the replica ready.
  AwaitReady,
  /// Leave the list of possible senders of orders.
  Deregister,
  /// Withdraw the decision.
  Retire,
  /// Wait until no instance sends requests to the replica.
  Drain,
  /// Turn the reservation to unloading.
  Unreserve,
  /// Order the unload.
  Unload,
  /// Wait until the engine shows the replica gone.
  AwaitGone,
  /// Free the memory.
  Release,
  /// Forget the replica.
  Drop,
}

/// A job.
#[derive(Clone, Debug)]
pub struct Job {
  pub model: String,
  pub replica: Replica,
  pub step: Step,
  /// Rises with every action, so that late answers are distinguished.
  pub number: u64,
  /// Time of the next action, ms.
  pub due: u64,
  /// Failures in a row.
  pub failures: u32,
  /// When the current step began, ms.
  pub step_started_at: u64,
  /// When the job began, ms.
  pub started_at: u64,
  /// Time after which loading is given up, ms.
  pub load_deadline: u64,
  /// The job began with the decision, so the replica served nobody before.
  pub is_new: bool,
  /// Newest fencing number; 0 before the reservation.
  pub fence: u64,
  /// Time until which an order of this instance may still arrive, ms.
  pub in_flight_until: u64,
  /// Most replicas under the policy, for the decision.
  pub limit: u32,
  /// Senders of orders known to have ended.
  pub ended_orderers: Vec<String>,
  /// When the decision was last asked for, ms.
  pub decision_read_at: u64,
}

impl Job {
  /// Whether the job loads rather than unloads.
  pub fn is_loading(&self) -> bool {
    self.step < Step::Retire
  }
}
