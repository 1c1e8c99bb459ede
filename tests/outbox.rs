//! Datagrams to many instances: sent immediately if the link has capacity, otherwise spread over
//! time. None is lost, and each instance receives its datagrams in order.

use bendsaddle::outbox::{Outbox, SLOT_MS};
use std::net::SocketAddr;

fn instances(count: u16) -> Vec<SocketAddr> {
  let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
  (1..=count).map(address).collect()
}

#[test]
fn what_the_link_carries_goes_at_once() {
  let mut outbox = Outbox::new(25_000);
  outbox.push(vec![0; 500], instances(9));
  assert_eq!(outbox.take_due(10).len(), 9);
  assert!(!outbox.has_pending());
}

#[test]
fn what_it_does_not_carry_is_spread_and_none_is_lost() {
  let mut outbox = Outbox::new(5_000);
  let instances = instances(295);
  for number in 0..4 {
    outbox.push(vec![number; 1_000], instances.clone());
  }
  let mut received = vec![Vec::new(); instances.len()];
  assert!(
    outbox.drain_time_ms() >= 190,
    "{} ms",
    outbox.drain_time_ms()
  );
  let mut now = 1_000;
  let start = now;
  while outbox.has_pending() {
    let due = outbox.take_due(now);
    let bytes: usize = due.iter().map(|(bytes, _)| bytes.len()).sum();
    assert!(
      bytes <= 5_000 * SLOT_MS as usize * 2 + 1_000,
      "{bytes} bytes in one slot"
    );
    for (bytes, address) in due {
      received[usize::from(address.port()) - 1].push(bytes[0]);
    }
    now += SLOT_MS;
  }
  assert!(received.iter().all(|numbers| *numbers == [0, 1, 2, 3]));
  let elapsed_ms = now - start;
  assert!(
    (200..=260).contains(&elapsed_ms),
    "{elapsed_ms} ms for 1.18 MB"
  );
}
