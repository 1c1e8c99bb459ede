//! The server record, which holds the memory reservations and the fencing token of a
//! backend server.
//!
//! A load may be ordered only if the model record contains the replica and the ledger
//! reserves its memory. A reservation lists every process that may still send an order
//! for the replica. It is released only after the engine reports the replica gone and,
//! unless the engine checks fencing tokens, no such process is left.

use crate::replica::Id;
use serde::{Deserialize, Serialize};

/// Operation that the orders for a reserved replica request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
  Load,
  Unload,
}

/// Memory reservation for one replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
  pub replica: Id,
  pub model: String,
  pub memory_mb: u64,
  pub phase: Phase,
  /// Processes whose load order may be in flight, as `instance/boot`.
  pub orderers: Vec<String>,
}

/// Reservations on one backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
  /// Highest fencing token issued.
  pub fence: u64,
  pub reservations: Vec<Reservation>,
}

/// A change of a server record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
  /// Reserves memory, or adds an orderer to an existing reservation. Increments the
  /// fencing token.
  Reserve {
    replica: Id,
    model: String,
    memory_mb: u64,
    capacity_mb: u64,
    orderer: String,
  },
  /// Switches the reservation to unloading and increments the fencing token.
  /// `deregister` is set if no load order of the orderer is in flight. Orderers of an
  /// unload are not listed: a late unload order finds no replica, since ids are never
  /// reused.
  Unload {
    replica: Id,
    orderer: String,
    deregister: bool,
  },
  /// Removes an orderer that no longer has an order in flight for the replica.
  Deregister { replica: Id, orderer: String },
  /// Releases the memory. `fenced` is set if the engine refuses orders of other
  /// processes; `gone` lists orderers that have ended.
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
  /// The server does not have enough free memory.
  Memory,
  /// The replica is being unloaded.
  Unloading,
  /// The replica has no reservation.
  Missing,
  /// Another process may still send an order.
  InFlight,
}

impl Ledger {
  /// Total reserved memory in MB.
  pub fn reserved_mb(&self) -> u64 {
    self
      .reservations
      .iter()
      .map(|reservation| reservation.memory_mb)
      .sum()
  }

  /// The reservation for a replica.
  pub fn find(&self, replica: Id) -> Option<&Reservation> {
    self
      .reservations
      .iter()
      .find(|reservation| reservation.replica == replica)
  }

  fn find_mut(&mut self, replica: Id) -> Option<&mut Reservation> {
    self
      .reservations
      .iter_mut()
      .find(|reservation| reservation.replica == replica)
  }

  /// Applies a change and returns whether the record differs afterwards.
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
        deregister,
      } => self.unload(*replica, orderer, *deregister),
      Change::Deregister { replica, orderer } => Ok(self.deregister(*replica, orderer)),
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
    if let Some(reservation) = self.find_mut(replica) {
      if reservation.phase == Phase::Unload {
        return Err(Rejection::Unloading);
      }
      add_orderer(reservation, orderer);
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

  fn unload(&mut self, replica: Id, orderer: &str, deregister: bool) -> Result<bool, Rejection> {
    let reservation = self.find_mut(replica).ok_or(Rejection::Missing)?;
    reservation.phase = Phase::Unload;
    if deregister {
      reservation.orderers.retain(|other| other != orderer);
    }
    self.fence += 1;
    Ok(true)
  }

  fn deregister(&mut self, replica: Id, orderer: &str) -> bool {
    let Some(reservation) = self.find_mut(replica) else {
      return false;
    };
    let count_before = reservation.orderers.len();
    reservation.orderers.retain(|other| other != orderer);
    reservation.orderers.len() != count_before
  }

  fn release(
    &mut self,
    replica: Id,
    orderer: &str,
    fenced: bool,
    gone: &[String],
  ) -> Result<bool, Rejection> {
    let Some(reservation) = self.find(replica) else {
      return Ok(false);
    };
    let none_in_flight = reservation
      .orderers
      .iter()
      .all(|other| other == orderer || gone.contains(other));
    if !fenced && !none_in_flight {
      return Err(Rejection::InFlight);
    }
    self
      .reservations
      .retain(|reservation| reservation.replica != replica);
    Ok(true)
  }
}

fn add_orderer(reservation: &mut Reservation, orderer: &str) {
  if !reservation.orderers.iter().any(|other| other == orderer) {
    reservation.orderers.push(orderer.into());
  }
}
