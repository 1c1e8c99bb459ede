//! Loads and unloads that instances order.

use super::{
  Options,
  state::{Held, Inner, Loaded, lock},
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

fn stale(inner: &mut Inner, options: &Options, fence: u64) -> bool {
  if options.fencing && fence < inner.fence {
    return true;
  }
  inner.fence = inner.fence.max(fence);
  false
}

pub(super) fn load(inner: &Arc<Held>, options: &Arc<Options>, order: OrderBody) -> u16 {
  let mut held = lock(inner);
  if stale(&mut held, options, order.fence) {
    return 409;
  }
  if held.replicas.contains_key(&order.replica) {
    return 202;
  }
  let ready =
    |loaded: &Loaded, base: &String| loaded.model == *base && loaded.stage == Stage::Ready;
  if let Some(base) = &order.base
    && !held.replicas.values().any(|loaded| ready(loaded, base))
  {
    return 422;
  }
  held.orders.push((order.replica, "load"));
  held.loads += 1;
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
  held.replicas.insert(order.replica, loaded);
  check(&mut held, options, &order);
  let boot = held.boot;
  drop(held);
  let (inner, options) = (inner.clone(), options.clone());
  thread::spawn(move || fetch(&inner, &options, &order, boot));
  202
}

/// Counts what the load breaks: memory, or a replica that was not decided.
fn check(inner: &mut Inner, options: &Options, order: &OrderBody) {
  let used = inner.used_mb();
  if used > options.memory_mb {
    let text = format!("{}: {used} of {} MB", options.name, options.memory_mb);
    inner.violations.push(text);
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
    inner.violations.push(text);
  }
}

fn fetch(inner: &Held, options: &Options, order: &OrderBody, boot: u64) {
  let (tier, extra) = {
    let held = lock(inner);
    let tier = held.cached.get(&order.model).copied();
    (tier.unwrap_or(Tier::Remote), held.faults.slow_load)
  };
  thread::sleep(extra);
  let time = options.load[tier as usize] * order.memory_mb as u32;
  match &options.store {
    Some(store) if tier == Tier::Remote => store.load(time),
    _ => thread::sleep(time),
  }
  let mut held = lock(inner);
  if held.boot != boot {
    return;
  }
  held
    .cached
    .insert(order.model.clone(), Tier::Memory.max(tier.min(Tier::Disk)));
  if let Some(loaded) = held.replicas.get_mut(&order.replica)
    && loaded.stage == Stage::Loading
  {
    loaded.stage = Stage::Ready;
    loaded.idle_since = Instant::now();
    loaded.loaded_at = Some(Instant::now());
  }
  inner.1.notify_all();
}

pub(super) fn unload(inner: &Arc<Held>, options: &Options, order: &OrderBody) -> u16 {
  let mut held = lock(inner);
  if stale(&mut held, options, order.fence) {
    return 409;
  }
  held.count_idle();
  let Some(loaded) = held.replicas.get_mut(&order.replica) else {
    return 200;
  };
  let first = loaded.stage != Stage::Unloading;
  loaded.stage = Stage::Unloading;
  loaded.loaded_at = None;
  if !first {
    return 202;
  }
  held.orders.push((order.replica, "unload"));
  let boot = held.boot;
  drop(held);
  let (inner, replica) = (inner.clone(), order.replica);
  thread::spawn(move || {
    let mut held = lock(&inner);
    while held.boot == boot
      && held
        .replicas
        .get(&replica)
        .is_some_and(|loaded| loaded.running + loaded.waiting > 0)
    {
      let waited = inner.1.wait_timeout(held, Duration::from_millis(50));
      held = waited.unwrap_or_else(PoisonError::into_inner).0;
    }
    if held.boot == boot {
      held.replicas.remove(&replica);
    }
  });
  202
}
