//! Orders must not exceed a server's memory or its adapter slots when their results are late, when
//! loads take longer than expected, and when adapters are still on their way.

mod holder;

use bendsaddle::{
  command::{Act, Command, Taken},
  demand::Model,
  deployment::{Deployment, Engine, Pool},
  placement::plan::Effect,
};
use holder::{World, engine};
use std::sync::Arc;

/// Requests a model or an adapter, and returns the order for it without executing it.
fn next_order_for(world: &mut World, name: &str) -> Command {
  world.waiting = vec![(name.into(), 1)];
  for _ in 0..200 {
    world.now += 10;
    world.report();
    for effect in world.plan.step(world.now) {
      match effect {
        Effect::Order(command) if command.model == Model::parse(name) => {
          world.waiting.clear();
          return command;
        }
        Effect::Order(command) => world.order(command),
        Effect::Query { id, .. } => world.respond_to_query(&id),
        Effect::Publish(_) | Effect::Log { .. } => {}
      }
    }
  }
  panic!("no order for {name} within 2 s");
}

/// A server whose two models are in use and cannot be evicted, with room for one more.
fn world_with_room_for_one() -> World {
  let servers: [(&str, &[&str], &[&str]); 1] = [("one", &["a", "b"], &["e"])];
  let mut world = World::new(&["a", "b", "d", "e"], &servers);
  world.running = vec![("one".into(), "a".into(), 1), ("one".into(), "b".into(), 1)];
  world.run(100);
  world
}

/// Guards against a load that counts as failed while it is still in progress: the next one then
/// exceeds the server's memory.
#[test]
fn the_memory_of_a_load_that_exceeds_its_time_is_not_free() {
  let mut world = world_with_room_for_one();
  // A load from the weight store, which is slow.
  world.waiting = vec![("d".into(), 1)];
  world.run(500);
  assert_eq!(world.loads(), [("one".to_string(), "d".to_string())]);
  world.waiting.clear();
  let ends_at = world.now + 40_000;
  world.servers.get_mut("one").unwrap().busy_until = ends_at;
  while world.now < ends_at - 400 {
    world.run(10);
  }
  world.waiting = vec![("e".into(), 1)];
  // The load ends between two attempts of the next one.
  for _ in 0..200 {
    world.run(10);
    let server = world.servers.get_mut("one").unwrap();
    if world.orders.iter().any(|order| order.model.name == "e") {
      server.busy_until = server.busy_until.min(world.now);
    }
  }
  // The world panics if an order exceeds the memory of the server.
  assert!(
    world.holds("one", "e"),
    "loaded in place of a model that is not requested"
  );
}

/// Guards against the loss of a load whose result arrives after this machine has acquired the lease
/// again: the inventory from before the load then counts as including it.
#[test]
fn a_load_whose_result_arrives_in_the_next_term_takes_memory() {
  let mut world = world_with_room_for_one();
  let load = next_order_for(&mut world, "d");
  world.plan.start_term(world.now, 2);
  world.run(200);
  let taken = world.carry_out(&load);
  assert_eq!(taken, Taken::Accepted);
  world.plan.record_order_result(world.now, &load, taken);
  world.run(7_000);
  world.waiting = vec![("e".into(), 1)];
  // The world panics if an order exceeds the memory of the server.
  world.run(2_000);
  assert!(
    world.holds("one", "e"),
    "loaded in place of a model that is not requested"
  );
}

/// Guards against an unload that is taken for done while the adapter is still on its way: the
/// adapter takes its slot afterwards.
#[test]
fn an_adapter_on_its_way_keeps_its_slot() {
  let mut world = World::new(&["a"], &[("one", &["a"], &[])]);
  world.adapters_arrive_after_ms = 5_000;
  for adapter in ["a/a1", "a/a2", "a/a3"] {
    world.waiting = vec![(adapter.into(), 1)];
    // The world panics if a third adapter is ordered.
    world.run(500);
  }
  world.run(14_000);
  assert!(world.holds("one", "a"));
  let held = &world.servers["one"].held["a"];
  assert!(held.contains(&"a3".to_string()), "{held:?}");
}

/// Guards against a result that is applied again to a later inventory: an adapter that was loaded
/// anew would count as unloaded.
#[test]
fn a_result_older_than_the_last_inventory_changes_nothing() {
  let mut world = World::new(&["a"], &[("one", &["a"], &[])]);
  world.run(100);
  let unload = Command {
    act: Act::Unload,
    ..next_order_for(&mut world, "a/a1")
  };
  // The adapter is loaded after the unload whose result is late.
  let server = world.servers.get_mut("one").unwrap();
  server
    .held
    .insert("a".into(), vec!["a1".into(), "a2".into()]);
  server.orders = unload.orders + 3;
  world.plan.start_term(world.now, 2);
  world.run(200);
  world
    .plan
    .record_order_result(world.now, &unload, Taken::Done);
  world.waiting = vec![("a/a3".into(), 1)];
  // The world panics if a third adapter is ordered.
  world.run(1_000);
  let held = &world.servers["one"].held["a"];
  assert!(held.contains(&"a3".to_string()), "{held:?}");
}

/// Changes the engine of the deployment that the planner knows.
fn change_engine(world: &mut World, change: impl FnOnce(&mut Engine)) {
  let mut deployment = Deployment::clone(&world.deployment);
  let mut engine = engine(&["a", "b", "c", "d"]);
  change(&mut engine);
  let pool = Pool {
    engine: Some(Arc::new(engine)),
    ..Pool::default()
  };
  deployment.pools.insert("pool".into(), pool);
  world.deployment = Arc::new(deployment);
  world.list_servers(&["one"]);
}

/// Guards against a model that the deployment no longer names and that takes no memory therefore,
/// although servers still hold it.
#[test]
fn a_model_that_the_deployment_does_not_name_takes_memory() {
  let full: &[&str] = &["a", "b", "c"];
  let mut world = World::new(&["a", "b", "c", "d"], &[("one", full, &["d"])]);
  world.run(600);
  change_engine(&mut world, |engine| {
    engine.models.remove("c");
  });
  world.waiting = vec![("d".into(), 1)];
  // The world panics if an order exceeds the memory of the server.
  world.run(2_000);
  assert!(world.holds("one", "d"));
}

/// Guards against adapters that exceed the memory of a server although its slots are free.
#[test]
fn adapters_are_loaded_within_the_memory() {
  let full: &[&str] = &["a", "b", "c"];
  let mut world = World::new(&["a", "b", "c", "d"], &[("one", full, &[])]);
  world.run(100);
  // One adapter fits beside the three models.
  change_engine(&mut world, |engine| {
    for checkpoint in engine.models.values_mut() {
      checkpoint.adapter_mb = 15;
    }
  });
  world.running = vec![("one".into(), "a".into(), 2)];
  world.waiting = vec![("a/a1".into(), 1)];
  world.run(500);
  world.waiting = vec![("a/a2".into(), 1)];
  world.run(1_000);
  let adapters: usize = world.servers["one"].held.values().map(Vec::len).sum();
  assert_eq!(adapters, 1, "{:?}", world.servers["one"].held);
  assert_eq!(
    world.servers["one"].held["a"],
    ["a2"],
    "in place of an idle one"
  );
}

/// Guards against a server that gets no more orders because it does not count an order for what it
/// holds already.
#[test]
fn a_count_that_the_server_does_not_confirm_is_dropped() {
  let mut world = World::new(&["a"], &[("one", &["a"], &[])]);
  world.run(100);
  let load = next_order_for(&mut world, "a/a1");
  let server = world.servers.get_mut("one").unwrap();
  server.held.insert("a".into(), vec!["a1".into()]);
  world
    .plan
    .record_order_result(world.now, &load, Taken::Done);
  world.waiting = vec![("a/a2".into(), 1)];
  world.run(4_000);
  let held = &world.servers["one"].held["a"];
  assert!(held.contains(&"a2".to_string()), "{held:?}");
}
