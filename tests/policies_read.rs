//! How long a holder's orders wait for the operators' policies.

use bendsaddle::policies::Reads;

#[test]
fn orders_of_a_first_term_wait_for_the_policies_for_three_seconds() {
  let mut reads = Reads::default();
  reads.lease_acquired(1_000);
  assert!(reads.start(1_000));
  reads.failed(1_010);
  assert!(!reads.allow_orders(3_999));
  assert!(reads.allow_orders(4_000) && !reads.are_known());
  assert!(!reads.start(1_300) && reads.start(1_310));
  reads.succeeded(1_320);
  assert!(reads.allow_orders(1_320) && reads.are_known());
}

// Guards against orders by policies of an earlier term, which operators may have changed hours ago.
#[test]
fn orders_of_a_later_term_wait_unless_the_policies_are_as_recent_as_a_holders() {
  let mut reads = Reads::default();
  reads.lease_acquired(0);
  reads.succeeded(10);
  reads.lease_acquired(10_009);
  assert!(reads.allow_orders(10_009), "read less than ten seconds ago");
  reads.lease_acquired(3_600_000);
  assert!(!reads.allow_orders(3_600_000));
  reads.succeeded(3_600_005);
  assert!(reads.allow_orders(3_600_005));
}
