//! Load and unload orders from instances.

use super::{
  Options,
  state::{Loaded, Shared, State, lock},
};
use bendsaddle::{
  engine::OrderBody,
  report::{Stage, Tier},
};
use std::{
  sync::{Arc, PoisonError},
  thread,
  time::{Duration, Instant},
};

fn stale(state: &mut State, options: &Options, fence: u64) -> bool {
  if options.fencing && fence < state.fence {
    return true;
  }
  state.fence = state.fence.max(fence);
  false
}

pub(super) fn load(shared: &Arc<Shared>, options: &Arc<Options>, order: OrderBody) -> u16 {
  let mut state = lock(shared);
  if stale(&mut state, options, order.fence) {
    return 409;
  }
  if state.replicas.contains_key(&order.replica) {
    return 202;
  }
  let ready =
    |loaded: &Loaded, base: &String| loaded.model == *base && loaded.stage == Stage::Ready;
  if let Some(base) = &order.base
    && !state.replicas.values().any(|loaded| ready(loaded, base))
  {
    return 422;
  }
  state.orders.push((order.replica, "load"));
  state.loads += 1;
  let loaded = Loaded {
    model: order.model.clone(),
    memory_mb: order.memory_mb,
    stage: Stage::Loading,
    running: 0,
    waiting: 0,
    urgent: 0,
    idle_since: Instant::now(),
    loaded_at: None,
  };
  state.replicas.insert(order.replica, loaded);
  record_violations(&mut state, options, &order);
  let boot = state.boot;
  drop(state);
  let (shared, options) = (shared.clone(), options.clone());
  thread::spawn(move || run_load(&shared, &options, &order, boot));
  202
}

/// Records a violation if the load exceeds the memory or the replica is not in the
/// platform record.
fn record_violations(state: &mut State, options: &Options, order: &OrderBody) {
  let used = state.used_mb();
  if used > options.memory_mb {
    let text = format!("{}: {used} of {} MB", options.name, options.memory_mb);
    state.violations.push(text);
  }
  let Some(platform) = &options.platform else {
    return;
  };
  let record = platform.record(&order.model);
  let decided = record
    .replicas
    .iter()
    .any(|replica| replica.id.0 == order.replica && replica.server == options.name);
  if !decided {
    let text = format!(
      "{}: replica {:x} of {} not decided",
      options.name, order.replica, order.model
    );
    state.violations.push(text);
  }
}

fn run_load(shared: &Shared, options: &Options, order: &OrderBody, boot: u64) {
  let (tier, extra) = {
    let state = lock(shared);
    let tier = state.cached.get(&order.model).copied();
    (tier.unwrap_or(Tier::Remote), state.faults.slow_load)
  };
  thread::sleep(extra);
  let time = options.load[tier as usize] * order.memory_mb as u32;
  match &options.store {
    Some(store) if tier == Tier::Remote => store.load(time),
    _ => thread::sleep(time),
  }
  let mut state = lock(shared);
  if state.boot != boot {
    return;
  }
  state
    .cached
    .insert(order.model.clone(), Tier::Memory.max(tier.min(Tier::Disk)));
  if let Some(loaded) = state.replicas.get_mut(&order.replica)
    && loaded.stage == Stage::Loading
  {
    loaded.stage = Stage::Ready;
    loaded.idle_since = Instant::now();
    loaded.loaded_at = Some(Instant::now());
  }
  shared.1.notify_all();
}

pub(super) fn unload(shared: &Arc<Shared>, options: &Options, order: &OrderBody) -> u16 {
  let mut state = lock(shared);
  if stale(&mut state, options, order.fence) {
    return 409;
  }
  state.count_idle();
  let Some(loaded) = state.replicas.get_mut(&order.replica) else {
    return 200;
  };
  let newly_unloading = loaded.stage != Stage::Unloading;
  loaded.stage = Stage::Unloading;
  loaded.loaded_at = None;
  if !newly_unloading {
    return 202;
  }
  state.orders.push((order.replica, "unload"));
  let boot = state.boot;
  drop(state);
  let (shared, replica) = (shared.clone(), order.replica);
  thread::spawn(move || {
    let mut state = lock(&shared);
    while state.boot == boot
      && state
        .replicas
        .get(&replica)
        .is_some_and(|loaded| loaded.running + loaded.waiting > 0)
    {
      let waited = shared.1.wait_timeout(state, Duration::from_millis(50));
      state = waited.unwrap_or_else(PoisonError::into_inner).0;
    }
    if state.boot == boot {
      state.replicas.remove(&replica);
    }
  });
  202
}
