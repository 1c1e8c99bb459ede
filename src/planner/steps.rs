//! Steps of the plans: what the instance knows goes in, orders, queries and updates come out.

use super::Planner;
use crate::{
  backend::{self, Backend, Spec},
  clock::Moment,
  placement::plan::{Effect, OtherServer},
};
use slog::info;

/// The pause after a plan step, as a multiple of the duration of the step. It leaves the holder
/// time to serve requests.
const STEP_PAUSE_FACTOR: u32 = 6;

impl Planner {
  pub(super) fn step_plan(&mut self, index: usize) {
    let now = self.hub.now();
    let group = &mut self.groups[index];
    if !group.leads(now) || now < group.paused_until {
      return;
    }
    group
      .plan
      .set_ordering(group.holds_lease && self.policy_reads.allow_orders(now));
    group.plan.set_policies_known(self.policy_reads.are_known());
    self.update_unknown_servers(index);
    self.update_plan(index);
    let started_at = Moment::now();
    let effects = self.groups[index].plan.step(now);
    let pause = started_at.elapsed() * STEP_PAUSE_FACTOR;
    self.groups[index].paused_until = now + pause.as_millis() as u64;
    for effect in effects {
      match effect {
        Effect::Order(command) => self.send_order(index, command),
        Effect::Query { id, address } => self.query_server(index, id, address),
        Effect::Publish(update) => self.publish(index, &update),
        Effect::Log {
          what,
          server,
          model,
          why,
        } => info!(self.hub.log, "planned"; "what" => what, "server" => server,
          "model" => model, "why" => why),
      }
    }
  }

  /// Updates whether entries of servers may be missing that expired before this instance started.
  fn update_unknown_servers(&mut self, index: usize) {
    let remaining = self.hub.gates.unknown_servers_for();
    let unknown = !remaining.is_zero() || !self.hub.state().list_complete;
    if unknown != self.unknown_servers {
      self.unknown_servers = unknown;
      info!(self.hub.log, "limited models wait for entries that may be missing"; "wait" => unknown,
        "remaining_ms" => remaining.as_millis() as u64);
    }
    self.groups[index].plan.set_unknown_servers(unknown);
  }

  fn update_plan(&mut self, index: usize) {
    let groups = self.groups.len() as u32;
    let group = &mut self.groups[index];
    let state = self.hub.state();
    let counts = (state.changes, state.updates);
    if counts == group.planned_counts {
      return;
    }
    let Some(deployment) = state.deployment.clone() else {
      return;
    };
    let number = group.number;
    let in_group = |backend: &Backend| backend::group(&backend.spec.id, groups) == number;
    let listed = || state.listed().map(|(_, backend)| backend);
    if counts.0 != group.planned_counts.0 {
      let specs = listed().filter(|backend| in_group(backend));
      let specs: Vec<Spec> = specs.map(Backend::effective_spec).collect();
      group.plan.update_servers(deployment, specs);
    }
    if groups > 1 {
      let others = listed().filter(|backend| !in_group(backend));
      let others =
        others.map(|backend| other_server(backend::group(&backend.spec.id, groups), backend));
      group.plan.update_other_servers(others.collect());
    }
    group.plan.update_limited(&state.limits.servers().collect());
    group.planned_counts = counts;
  }
}

/// A server of another group, as known to this instance.
fn other_server(group: u32, backend: &Backend) -> OtherServer {
  let (mut models, spec) = match &backend.holding {
    Some(holding) => (holding.models.clone(), &backend.spec),
    None => (backend.spec.models.clone(), &backend.spec),
  };
  if let Some(holding) = &backend.holding {
    models.retain(|name, _| !holding.leaving.contains(name));
  }
  let ready = !backend.is_leaving();
  if !ready {
    models.clear();
  }
  let copies = spec.in_memory.iter().chain(&spec.on_disk);
  OtherServer {
    group,
    pool: spec.pool.clone(),
    models,
    copies: if ready {
      copies.cloned().collect()
    } else {
      Vec::new()
    },
  }
}
