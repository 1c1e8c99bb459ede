//! Refusals for quota are right: a customer is refused when it has used its quota, also while holders
//! fail and after.

#[allow(
  dead_code,
  reason = "the other strategies are compared in tests/customers.rs"
)]
mod fleet_quota;

use bendsaddle::quota::{Accounts, Allowance, Balances, Bound, Decision, Id, Quota, Terms, Use};
use fleet_quota::{BOUND, Scenario, Strategy, simulate};

/// A fleet of 66 instances with customers of different sizes, and one at six times its usual rate.
fn scenario(seed: u64, hot: usize) -> Scenario {
  Scenario {
    seed,
    instances: 66,
    usual: vec![
      150_000.0, 65_000.0, 38_000.0, 20_000.0, 10_000.0, 7_000.0, 5_000.0,
    ],
    hot_customer: Some((hot, 6.0, 7_300, 13_100)),
    pinned_customer: None,
    kill: None,
    holder_losses: &[],
    partitioned: None,
    suspended: None,
    loss: 0.01,
    length_ms: 34_000,
  }
}

/// A customer that asks for more than its quota uses it before it is refused.
#[test]
fn a_customer_at_six_times_its_usual_uses_its_quota_before_it_is_refused() {
  for (seed, hot) in [(1, 0), (2, 1), (3, 4)] {
    let outcome = simulate(&scenario(seed, hot), Strategy::Requested);
    let early = outcome.refused_early.len();
    println!("{seed}: {early} early, worst {:.3}", outcome.worst);
    assert!(outcome.worst <= 1.0, "{seed}: {:.3}", outcome.worst);
    assert!(early < 20, "{seed}: {early}");
  }
}

fn allowance() -> Allowance {
  let quota = Quota {
    rate: 1_000.0,
    burst: 1_000.0,
  };
  Allowance {
    quota,
    bound: BOUND,
  }
}

fn without_slack() -> Allowance {
  Allowance {
    quota: allowance().quota,
    bound: Bound {
      slack: 0.0,
      ..BOUND
    },
  }
}

/// Refused requests used up the share of their instance, and were reported as its usage.
#[test]
fn a_refused_request_is_not_reported_as_used() {
  let id = Id::for_customer("one");
  let mut quotas = Balances::new(1);
  quotas.receive_sums(1_000, &vec![(id, [0, 0, 0, 0])]);
  let mut refused = 0;
  let mut used = 0;
  for request in 0..200 {
    let now = 1_000 + request * 10;
    match quotas.acquire(now, (id, &allowance()), 5_000, Some(0), 66) {
      Decision::Granted => used += 5_000,
      _ => refused += 1,
    }
  }
  assert!(refused > 150, "{refused}");
  let uses = quotas.uses(3_000, &Default::default());
  assert_eq!(uses[0].used, used);
  let Use { unreported, .. } = uses[0];
  assert_eq!(i64::from(unreported), used);
}

/// The previous process of a restarted instance counted as silent for a window, and its part of each
/// quota was withheld from all.
#[test]
fn a_restarted_instance_does_not_count_as_silent() {
  let id = Id::for_customer("one");
  let mut accounts = Accounts::default();
  let need = |need| {
    [Use {
      id,
      used: 0,
      need,
      unreported: 0,
    }]
  };
  accounts.record_process(1_000, 7, 70);
  accounts.report(1_000, 70, &need(10), |_| Some(allowance()));
  accounts.record_process(4_000, 7, 71);
  let grants = accounts.report(4_000, 71, &need(8_500), |_| Some(allowance()));
  assert_eq!(grants[0].over_ms, 0, "{grants:?}");
}

/// What was used while no holder answered counted as used at the takeover, and two seconds of the
/// rate were kept back for a whole window: a customer was refused for seconds with its quota unused.
#[test]
fn what_was_used_during_an_outage_counts_from_its_time() {
  let id = Id::for_customer("one");
  let allowance = without_slack();
  let sums = vec![(id, [0, 0, 0, 0])];
  let mut accounts = Accounts::new(7_000, Some((3_000, &sums)), |_| Some(allowance));
  let uses = |used, need, unreported| {
    [Use {
      id,
      used,
      need,
      unreported,
    }]
  };
  accounts.report(7_000, 70, &uses(6_000, 0, 6_000), |_| Some(allowance));
  let grants = accounts.report(12_500, 70, &uses(6_000, 4_000, 0), |_| Some(allowance));
  assert_eq!(grants[0].over_ms, 0, "{grants:?}");
}

/// A holder that had started again knew only the sums in the lease's record, and granted what was used since
/// once more.
#[test]
fn what_the_former_holder_published_after_the_record_counts() {
  let id = Id::for_customer("one");
  let allowance = without_slack();
  let most = allowance.window_units() as u32;
  let record = vec![(id, [0, 1, 0, 0])];
  let mut accounts = Accounts::new(7_000, Some((7_000, &record)), |_| Some(allowance));
  let published = vec![(id, [most, 0, 0, 0])];
  let added = accounts.add_former(7_100, 6_500, &published, |_| Some(allowance));
  assert_eq!(added, f64::from(most - 1));
  let again = accounts.add_former(7_200, 6_500, &published, |_| Some(allowance));
  assert_eq!(again, 0.0, "several instances send the same sums");
  let need = [Use {
    id,
    used: 0,
    need: most,
    unreported: 0,
  }];
  let grants = accounts.report(9_500, 70, &need, |_| Some(allowance));
  let granted = grants[0].limit as u32;
  let slack = (allowance.reserve() * 0.6) as u32;
  assert!(
    granted <= slack,
    "{granted} beside {most} used, of {slack} in reserve"
  );
  let late = accounts.add_former(30_000, 29_000, &vec![(id, [2 * most, 0, 0, 0])], |_| {
    Some(allowance)
  });
  assert_eq!(late, 0.0, "sums of a holder that has long ended");
}

/// Requests that need this many units, from an instance that has used some.
fn asking(id: Id, used: i64, need: u32) -> [Use; 1] {
  [Use {
    id,
    used,
    need,
    unreported: 0,
  }]
}

/// Units granted when the reserve of the lease's record counts.
fn grant_reserved(accounts: &mut Accounts, now: u64, uses: &[Use]) -> (i64, u32) {
  let terms = |_| Terms {
    reserved: true,
    ..Terms::default()
  };
  let grants = accounts.report_with_terms(now, 70, uses, |_| Some(without_slack()), terms);
  (grants[0].limit, grants[0].over_ms)
}

/// Guards against grants that no record of the lease covers: after a loss of all instances they are known to
/// nobody.
#[test]
fn a_holder_lost_with_all_others_granted_no_more_than_its_record_reserves() {
  let id = Id::for_customer("one");
  let allowance = without_slack();
  let need = allowance.window_units() as u32;
  let mut accounts = Accounts::default();
  let (mut granted, mut now) = (0, 1_000);
  for _ in 0..20 {
    let recorded = accounts.start_record(now, |_| Some(allowance));
    let reserved: u32 = recorded.iter().flat_map(|(_, quarters)| quarters).sum();
    accounts.finish_record(true);
    let (limit, over_ms) = grant_reserved(&mut accounts, now, &asking(id, granted, need));
    granted = limit;
    // A quota that was not used yet is not listed; the next holder assumes a little for it.
    let assumed = f64::from(reserved).max(allowance.window_units() / 16.0);
    assert!(
      granted as f64 <= assumed,
      "{granted} granted, {assumed} recorded"
    );
    if over_ms > 0 {
      break;
    }
    now += 50;
  }
  assert!(
    granted as f64 >= allowance.window_units(),
    "{granted} of {need}"
  );
  assert!(
    now <= 1_000 + 4 * 50,
    "the quota was granted after {now} ms"
  );
}

/// Guards against callers that wait or are refused because the store does not take a record.
#[test]
fn grants_wait_for_a_record_only_briefly() {
  let id = Id::for_customer("one");
  let need = without_slack().window_units() as u32 / 2;
  let mut accounts = Accounts::default();
  let (limit, over_ms) = grant_reserved(&mut accounts, 1_000, &asking(id, 0, need));
  assert!(limit < i64::from(need) && over_ms == 0, "{limit} of {need}");
  assert!(accounts.needs_record());
  accounts.start_record(1_010, |_| Some(without_slack()));
  accounts.finish_record(false);
  let (limit, _) = grant_reserved(&mut accounts, 1_110, &asking(id, limit, need));
  assert!(limit >= i64::from(need), "{limit} of {need}");
}

/// A holder that had just started did not know the customers yet, and dropped the sums of what they had used.
#[test]
fn sums_of_a_customer_that_is_not_known_yet_count_once_it_is() {
  let id = Id::for_customer("one");
  let allowance = without_slack();
  let most = allowance.window_units() as u32;
  let sums = vec![(id, [most, 0, 0, 0])];
  let mut accounts = Accounts::new(7_000, Some((7_000, &sums)), |_| None);
  let use_all = asking(id, 0, most);
  let grants = accounts.report(9_500, 70, &use_all, |_| Some(allowance));
  let slack = (allowance.reserve() * 0.6) as i64;
  assert!(grants[0].limit <= slack, "{grants:?} beside {most} used");
}

/// Guards against permits and servers' limits that count as used because a record reserved them.
#[test]
fn units_that_need_no_record_are_not_reserved() {
  let id = Id::for_permit(1, 1);
  let mut accounts = Accounts::default();
  accounts.report(1_000, 70, &asking(id, 0, 0), |_| Some(without_slack()));
  assert_eq!(accounts.start_record(1_100, |_| Some(without_slack())), []);
  assert_eq!(
    accounts.published_sums(1_200, |_| Some(without_slack())),
    []
  );
}
