//! Refused callers get a retry-after at which there is room for them, and no more are invited to it
//! than fit.

use bendsaddle::quota::{Accounts, Allowance, Bound, Id, Quota, Terms, Use};

const WINDOW_MS: u64 = 8_000;
const COST: u32 = 1_000;
/// Units of the customer's quota per second.
const RATE: f64 = 20_000.0;
/// Step in which invitations are counted, ms: a thirty-second part of the window, in which its
/// units are kept.
const STEP_MS: u64 = 250;

fn allowance() -> Allowance {
  let quota = Quota {
    rate: RATE,
    burst: 0.0,
  };
  let bound = Bound {
    window_ms: WINDOW_MS,
    overage: 0.1,
    slack: 0.0,
  };
  Allowance { quota, bound }
}

/// One request of a customer, at one of ten instances.
struct Instances {
  accounts: Accounts,
  used: [i64; 10],
}

impl Instances {
  /// Returns the time until the units fit, in ms; 0 if they were granted.
  fn request(&mut self, now: u64, number: u64, promise: bool) -> u64 {
    let instance = (number % 10) as usize;
    let uses = [Use {
      id: Id::for_customer("one"),
      used: self.used[instance],
      need: COST,
      unreported: 0,
    }];
    let allow = |_| Some(allowance());
    let accounts = &mut self.accounts;
    let terms = |_| Terms {
      promised: promise,
      ..Terms::default()
    };
    let grants = accounts.report_with_terms(now, instance as u64 + 1, &uses, allow, terms);
    if grants[0].over_ms == 0 {
      self.used[instance] += i64::from(COST);
    }
    u64::from(grants[0].over_ms)
  }
}

/// Invitations by step, and requests granted by step, of a customer that asks for six times its
/// quota for some time. Nobody comes back.
fn replay(promise: bool, from: u64, to: u64, instances: &mut Instances) -> Vec<u64> {
  let mut invited = vec![0; 400];
  for number in 0.. {
    // 120 requests per second are 120,000 units.
    let now = from + number * 1_000 / 120;
    if now >= to {
      return invited;
    }
    let over_ms = instances.request(now, number, promise);
    if over_ms > 0 {
      invited[((now + over_ms) / STEP_MS) as usize] += 1;
    }
  }
  invited
}

fn instances() -> Instances {
  Instances {
    accounts: Accounts::default(),
    used: [0; 10],
  }
}

/// The retry-after of everyone was when the units of one request fit, so that all were invited to
/// the same moment and refused again.
#[test]
fn no_more_callers_are_invited_to_a_moment_than_fit() {
  // The window was filled at 30 requests in 250 ms, so no more leave it then, and one at either end.
  let most_that_leave = 32;
  let invited = replay(true, 10_000, 13_000, &mut instances());
  let most = invited.iter().max().copied().unwrap_or_default();
  let total: u64 = invited.iter().sum();
  println!("most invited to {STEP_MS} ms: {most} of {total}");
  assert!(total > 100, "{total}");
  assert!(
    most <= most_that_leave,
    "{most} were invited to {STEP_MS} ms"
  );
}

/// Guards against invitations that together exceed what has left the window by then.
#[test]
fn invitations_never_exceed_what_leaves_the_window() {
  let invited = replay(true, 10_000, 13_000, &mut instances());
  let first = ((10_000 + WINDOW_MS) / STEP_MS) as usize;
  assert!(
    invited[..first].iter().sum::<u64>() <= 1,
    "invited too early"
  );
  let mut sum = 0;
  for (step, count) in invited.iter().enumerate().skip(first) {
    sum += count;
    // 30 requests leave in each step, and one may be rounded into the step before.
    let left = 30 * (step - first + 1) as u64 + 1;
    assert!(sum <= left, "{sum} invited, {left} left at step {step}");
  }
}

/// Without promises the same load invites several times as many to one moment.
#[test]
fn without_promises_all_are_invited_at_once() {
  let invited = replay(false, 10_000, 13_000, &mut instances());
  let most = invited.iter().max().copied().unwrap_or_default();
  println!("most invited to {STEP_MS} ms: {most}");
  assert!(most > 60, "{most}");
}

/// The next holder knows no promises: it invites to room that others were promised, but grants no
/// more than the quota.
#[test]
fn a_holder_lost_with_promises_outstanding_grants_no_more_than_the_quota() {
  let mut instances = instances();
  replay(true, 10_000, 12_000, &mut instances);
  let sums = instances.accounts.sums(12_000, |_| Some(allowance()));
  let before: i64 = instances.used.iter().sum();
  instances.accounts = Accounts::new(12_500, Some((12_000, &sums)), |_| Some(allowance()));
  replay(true, 12_500, 17_000, &mut instances);
  let used: i64 = instances.used.iter().sum();
  let most = RATE * (WINDOW_MS / 1_000) as f64 * 1.1;
  assert!(before > 0);
  assert!((used as f64) <= most, "{used} of {most}");
}

/// A promise counts until its caller may have returned, and no longer: room that nobody claims goes
/// to others.
#[test]
fn room_that_nobody_claims_goes_to_others() {
  let mut instances = instances();
  replay(true, 10_000, 13_000, &mut instances);
  let before: i64 = instances.used.iter().sum();
  // All of the window has passed.
  for number in 0..100 {
    assert_eq!(instances.request(22_000 + number, number, true), 0);
  }
  assert_eq!(instances.used.iter().sum::<i64>() - before, 100_000);
}
