//! Switches that break a mechanism, so that the checks can be checked.

use crate::plan::{Fault, Server, Step};

/// A switch that breaks a mechanism: the check named must notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Break {
  /// A call that may not be repeated is configured as one that may.
  Repeat,
  /// Servers run what they say they did not run.
  Lie,
  /// Servers answer with another request's answer.
  Mix,
  /// One instance takes the lease of orders early.
  Lease,
  /// Instances are given less time for a planned stop than it takes.
  Grace,
  /// One instance does not hear from the store.
  Deaf,
  /// Servers leave without a word.
  Leave,
  /// The configuration names more memory than servers have.
  Memory,
  /// Callers state a longer deadline than they keep.
  Patience,
  /// No policy bounds the replicas.
  Policy,
  /// Servers in need do not name their limits.
  Limit,
  /// Servers that leave do not say so in their answers.
  Say,
  /// Servers that turn requests away do not ask for rest.
  Rest,
}

impl Break {
  /// All switches, by name, with the promise whose check must notice.
  pub const ALL: [(&'static str, Self, &'static str); 13] = [
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
  ];

  /// The faults in which the broken mechanism shows.
  pub fn steps(self) -> Vec<Step> {
    let step = |at, lasts, fault| Step { at, lasts, fault };
    match self {
      Self::Grace => vec![
        step(1_000, 0, Fault::Stop(0)),
        step(1_000, 3_000, Fault::Burst),
      ],
      Self::Deaf => (0..6)
        .map(|n| step(500 + n * 1_000, 0, Fault::Configure(1)))
        .collect(),
      Self::Leave => vec![step(500, 0, Fault::Server(5, Server::Drain))],
      // A third replica is loaded only where requests find the others too slow.
      Self::Policy => (0..4)
        .map(|engine| step(300, 7_000, Fault::Server(engine, Server::Slow)))
        .chain([step(300, 7_000, Fault::Burst)])
        .collect(),
      Self::Limit => vec![step(500, 7_000, Fault::Server(5, Server::Limit(10)))],
      Self::Say => vec![step(500, 5_000, Fault::Server(5, Server::Says))],
      Self::Rest => vec![step(500, 5_000, Fault::Server(5, Server::Rest(20)))],
      // What only this server held is loaded where there is no room.
      Self::Memory => vec![step(500, 500, Fault::Server(0, Server::Crash))],
      Self::Repeat | Self::Lie | Self::Mix | Self::Lease | Self::Patience => {
        vec![step(300, 4_000, Fault::Burst)]
      }
    }
  }
}
