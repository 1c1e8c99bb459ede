//! Switches that break a mechanism, to verify that the checks notice it.

use crate::plan::{Fault, Server, Step};

/// A switch that breaks one mechanism; the check named in `Break::ALL` must notice it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Break {
  /// The route for requests that must not be repeated is configured as repeatable.
  Repeat,
  /// Servers run requests that they report as not run.
  Lie,
  /// Servers send the response of another request.
  Mix,
  /// All instances but the first have a shorter lease and take over orders too early.
  Lease,
  /// Instances get less time for a planned stop than they need.
  Grace,
  /// One instance receives nothing from the store.
  Deaf,
  /// Servers do not update their entry in the store when they start to leave.
  Leave,
  /// The configuration states more memory for models than servers have.
  Memory,
  /// Callers state a longer deadline than the one that is checked.
  Patience,
  /// No policy bounds the replicas.
  Policy,
  /// Overloaded servers do not announce their limits.
  Limit,
  /// Servers that leave do not announce it in responses.
  Say,
  /// Servers that decline requests do not ask for a backoff.
  Rest,
  /// Entries of servers state one software version, whatever theirs is.
  Build,
}

impl Break {
  /// All switches: name, value, and the invariant whose check must notice it.
  pub const ALL: [(&'static str, Self, &'static str); 14] = [
    ("repeat", Self::Repeat, "once"),
    ("lie", Self::Lie, "refusal"),
    ("mix", Self::Mix, "answer"),
    ("lease", Self::Lease, "orders"),
    ("grace", Self::Grace, "answer"),
    ("deaf", Self::Deaf, "configuration"),
    ("leave", Self::Leave, "leaving"),
    ("memory", Self::Memory, "memory"),
    ("patience", Self::Patience, "in time"),
    ("policy", Self::Policy, "replicas"),
    ("limit", Self::Limit, "limit"),
    ("say", Self::Say, "said leaving"),
    ("rest", Self::Rest, "rest"),
    ("build", Self::Build, "build"),
  ];

  /// Returns the faults that reveal the broken mechanism.
  pub fn steps(self) -> Vec<Step> {
    let step = |at, duration_ms, fault| Step {
      at,
      duration_ms,
      fault,
    };
    match self {
      Self::Grace => vec![
        step(1_000, 0, Fault::Stop(0)),
        step(1_000, 3_000, Fault::Burst),
      ],
      Self::Deaf => (0..6)
        .map(|n| step(500 + n * 1_000, 0, Fault::Configure(1)))
        .collect(),
      Self::Leave => vec![step(500, 0, Fault::Server(5, Server::Drain))],
      // A third replica is loaded only if requests find the other replicas too slow.
      Self::Policy => (0..4)
        .map(|engine| step(300, 7_000, Fault::Server(engine, Server::Slow)))
        .chain([step(300, 7_000, Fault::Burst)])
        .collect(),
      Self::Limit => vec![step(500, 7_000, Fault::Server(5, Server::Limit(10)))],
      Self::Say => vec![step(500, 5_000, Fault::Server(5, Server::Says))],
      Self::Rest => vec![step(500, 5_000, Fault::Server(5, Server::Rest(20)))],
      // Models that only this server held are loaded on servers without free memory.
      Self::Memory => vec![step(500, 500, Fault::Server(0, Server::Crash))],
      Self::Build => vec![step(500, 1_000, Fault::Kill(0))],
      Self::Repeat | Self::Lie | Self::Mix | Self::Lease | Self::Patience => {
        vec![step(300, 4_000, Fault::Burst)]
      }
    }
  }
}
