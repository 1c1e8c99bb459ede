//! Changes to records and ledgers, including repeated ones.

use bendsaddle::{
  ledger::{Change, Ledger, Rejection},
  record::{self, Record},
  replica::{Id, Replica, Target},
};

fn reserve(replica: u64, orderer: &str) -> Change {
  Change::Reserve {
    replica: Id(replica),
    model: "model".into(),
    memory_mb: 60,
    capacity_mb: 100,
    orderer: orderer.into(),
  }
}

fn unload(replica: u64, orderer: &str, settled: bool) -> Change {
  Change::Unload {
    replica: Id(replica),
    orderer: orderer.into(),
    deregister: settled,
  }
}

fn release(replica: u64, orderer: &str) -> Change {
  Change::Release {
    replica: Id(replica),
    orderer: orderer.into(),
    fenced: false,
    gone: Vec::new(),
  }
}

fn replica(id: u64) -> Replica {
  Replica {
    id: Id(id),
    server: "server".into(),
    target: Target::Loaded,
    policy: "policy".into(),
  }
}

#[test]
fn memory_is_never_reserved_past_capacity() {
  let mut ledger = Ledger::default();
  assert_eq!(ledger.apply(&reserve(1, "a/1")), Ok(true));
  assert_eq!(ledger.apply(&reserve(2, "b/1")), Err(Rejection::Memory));
  assert_eq!(ledger.reserved_mb(), 60);
}

#[test]
fn a_repeated_reservation_raises_the_fence_and_holds_memory_once() {
  let mut ledger = Ledger::default();
  assert_eq!(ledger.apply(&reserve(1, "a/1")), Ok(true));
  assert_eq!(ledger.apply(&reserve(1, "b/1")), Ok(true));
  assert_eq!(ledger.reserved_mb(), 60);
  assert_eq!(ledger.fence, 2);
}

#[test]
fn memory_stays_reserved_while_another_may_still_order_the_load() {
  let mut ledger = Ledger::default();
  assert_eq!(ledger.apply(&reserve(1, "a/1")), Ok(true));
  assert_eq!(ledger.apply(&unload(1, "b/1", true)), Ok(true));
  assert_eq!(ledger.apply(&release(1, "b/1")), Err(Rejection::InFlight));
  let deregister = Change::Deregister {
    replica: Id(1),
    orderer: "a/1".into(),
  };
  assert_eq!(ledger.apply(&deregister), Ok(true));
  assert_eq!(ledger.apply(&release(1, "b/1")), Ok(true));
}

/// Guards against a deadlock in which each process waits for the other to deregister (shrunk
/// from a history of seed 2).
#[test]
fn two_processes_that_unload_one_replica_do_not_wait_for_each_other() {
  let mut ledger = Ledger::default();
  assert_eq!(ledger.apply(&reserve(1, "a/1")), Ok(true));
  assert_eq!(ledger.apply(&reserve(1, "b/1")), Ok(true));
  assert_eq!(ledger.apply(&unload(1, "a/1", true)), Ok(true));
  assert_eq!(ledger.apply(&unload(1, "b/1", true)), Ok(true));
  assert_eq!(ledger.apply(&release(1, "a/1")), Ok(true));
}

#[test]
fn a_load_is_not_ordered_again_once_unloading_has_begun() {
  let mut ledger = Ledger::default();
  assert_eq!(ledger.apply(&reserve(1, "a/1")), Ok(true));
  assert_eq!(ledger.apply(&unload(1, "b/1", true)), Ok(true));
  assert_eq!(ledger.apply(&reserve(1, "a/1")), Err(Rejection::Unloading));
}

/// Guards against a limit shared by two policies, where the second one never gets a replica.
#[test]
fn each_policy_has_a_limit_of_its_own() {
  let mut record = Record::default();
  let add = |id, policy: &str| record::Change::Add {
    replica: Replica {
      policy: policy.into(),
      ..replica(id)
    },
    limit: 1,
  };
  assert_eq!(record.apply(&add(1, "a")), Ok(true));
  assert_eq!(record.apply(&add(2, "b")), Ok(true));
  assert_eq!(record.apply(&add(3, "a")), Err(record::Rejection::Limit));
}

#[test]
fn no_more_replicas_are_decided_than_the_limit() {
  let mut record = Record::default();
  let add = |id| record::Change::Add {
    replica: replica(id),
    limit: 1,
  };
  assert_eq!(record.apply(&add(1)), Ok(true));
  assert_eq!(record.apply(&add(1)), Ok(false));
  assert_eq!(record.apply(&add(2)), Err(record::Rejection::Limit));
  let retire = record::Change::Retire {
    id: Id(1),
    gaps: Vec::new(),
  };
  assert_eq!(record.apply(&retire), Ok(true));
  assert_eq!(record.apply(&add(2)), Err(record::Rejection::Limit));
  assert_eq!(record.apply(&record::Change::Drop { id: Id(1) }), Ok(true));
  assert_eq!(record.apply(&add(2)), Ok(true));
}
