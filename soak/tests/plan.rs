//! Plans of faults are determined by their seed.

use quickcheck::quickcheck;
use soak::plan::{Size, generate};

quickcheck! {
  fn a_seed_fixes_its_plan(seed: u64) -> bool {
    generate(seed, &Size::default()) == generate(seed, &Size::default())
  }

  fn faults_come_in_order_and_within_the_run(seed: u64) -> bool {
    let size = Size::default();
    let steps = generate(seed, &size);
    steps.windows(2).all(|pair| pair[0].at <= pair[1].at)
      && steps.iter().all(|step| step.at < size.faults_ms)
      && !steps.is_empty()
  }
}

#[test]
fn seeds_differ() {
  let size = Size::default();
  assert_ne!(generate(1, &size), generate(2, &size));
}
