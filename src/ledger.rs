//! The server record: memory reserved on a backend server, and its fencing
//! number.
//!
//! A replica may be ordered only if its model record decides it and the ledger
//! reserves its memory. A reservation names every process that may still send
//! an order for the replica; it is released only when the engine has shown the
//! replica gone and, unless the engine checks fencing numbers, no such process
//! is left.

use crate::replica::Id;
use serde::{Deserialize, Serialize};

/// What orders for a reserved replica say.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
  Load,
  Unload,
}

/// Memory held for one replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
  pub replica: Id,
  pub model: String,
  pub memory_mb: u64,
  pub phase: Phase,
  /// Processes, as `instance/boot`, with a load order that may be in flight.
  pub orderers: Vec<String>,
}

/// Reservations on one backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
  /// Highest fencing number given out.
  pub fence: u64,
  pub reservations: Vec<Reservation>,
}

/// A change of a server record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
  /// Reserves memory, or joins the reservation as a further orderer; the fencing
  /// number rises.
  Reserve {
    replica: Id,
    model: String,
    memory_mb: u64,
    capacity_mb: u64,
    orderer: String,
  },
  /// Turns the reservation to unloading; the fencing number rises. `settled`: no
  /// load order of the sender is on its way. Orders to unload need no sender's
  /// name: one that comes late finds nothing, since ids are never used again.
  Unload {
    replica: Id,
    orderer: String,
    deregister: bool,
  },
  /// The orderer has no order in flight for the replica any more.
  Deregister { replica: Id, orderer: String },
  /// Frees the memory. `fenced`: the engine refuses the orders of others.
  Release {
    replica: Id,
    orderer: String,
    fenced: bool,
    gone: Vec<String>,
  },
}

/// Why a change was not applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
  /// The server has too little memory left.
  Memory,
  /// The replica is being unloaded.
  Unloading,
  /// No reservation stands for the replica.
  Missing,
  /// Another process may still send an order.
  InFlight,
}

impl Ledger {
  /// Memory reserved, in MB.
  pub fn reserved_mb(&self) -> u64 {
    self.reservations.iter().map(|held| held.memory_mb).sum()
  }

  /// The reservation for a replica.
  pub fn find(&self, replica: Id) -> Option<&Reservation> {
    self
      .reservations
      .iter()
      .find(|held| held.replica == replica)
  }

  fn find_mut(&mut self, replica: Id) -> Option<&mut Reservation> {
    self
      .reservations
      .iter_mut()
      .find(|held| held.replica == replica)
  }

  /// Applies a change; true when the record differs afterwards.
  pub fn apply(&mut self, change: &Change) -> Result<bool, Rejection> {
    match change {
      Change::Reserve {
        replica,
        model,
        memory_mb,
        capacity_mb,
        orderer,
      } => self.reserve(*replica, model, *memory_mb, *capacity_mb, orderer),
      Change::Unload {
        replica,
        orderer,
        deregister: settled,
      } => self.unload(*replica, orderer, *settled),
      Change::Deregister { replica, orderer } => Ok(self.settle(*replica, orderer)),
      Change::Release {
        replica,
        orderer,
        fenced,
        gone,
      } => self.release(*replica, orderer, *fenced, gone),
    }
  }

  fn reserve(
    &mut self,
    replica: Id,
    model: &str,
    memory_mb: u64,
    capacity_mb: u64,
    orderer: &str,
  ) -> Result<bool, Rejection> {
    if let Some(held) = self.find_mut(replica) {
      if held.phase == Phase::Unload {
        return Err(Rejection::Unloading);
      }
      join(held, orderer);
      self.fence += 1;
      return Ok(true);
    }
    if self.reserved_mb() + memory_mb > capacity_mb {
      return Err(Rejection::Memory);
    }
    self.reservations.push(Reservation {
      replica,
      model: model.into(),
      memory_mb,
      phase: Phase::Load,
      orderers: vec![orderer.into()],
    });
    self.fence += 1;
    Ok(true)
  }

  fn unload(&mut self, replica: Id, orderer: &str, settled: bool) -> Result<bool, Rejection> {
    let held = self.find_mut(replica).ok_or(Rejection::Missing)?;
    held.phase = Phase::Unload;
    if settled {
      held.orderers.retain(|other| other != orderer);
    }
    self.fence += 1;
    Ok(true)
  }

  fn settle(&mut self, replica: Id, orderer: &str) -> bool {
    let Some(held) = self.find_mut(replica) else {
      return false;
    };
    let before = held.orderers.len();
    held.orderers.retain(|held| held != orderer);
    held.orderers.len() != before
  }

  fn release(
    &mut self,
    replica: Id,
    orderer: &str,
    fenced: bool,
    gone: &[String],
  ) -> Result<bool, Rejection> {
    let Some(held) = self.find(replica) else {
      return Ok(false);
    };
    let settled = held
      .orderers
      .iter()
      .all(|other| other == orderer || gone.contains(other));
    if !fenced && !settled {
      return Err(Rejection::InFlight);
    }
    self.reservations.retain(|held| held.replica != replica);
    Ok(true)
  }
}

fn join(held: &mut Reservation, orderer: &str) {
  if !held.orderers.iter().any(|other| other == orderer) {
    held.orderers.push(orderer.into());
  }
}
