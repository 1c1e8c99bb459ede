//! The reducer: applies one event to the state and returns the resulting effects.
//!
//! Time, randomness and the outcomes of effects are inputs, so the same events in the
//! same order produce the same effects.

use crate::{
  effect::Effect,
  event::{Event, Tag},
  journal::Entry,
  object::Name,
  state::State,
  update::Outcome,
};

/// Interval between housekeeping passes.
const HOUSEKEEPING_INTERVAL_MS: u64 = 50;

/// Interval between recovery passes over all owned models.
const RECOVERY_INTERVAL_MS: u64 = 250;

/// Applies an event that happened at time `at` in ms and returns the effects to execute.
pub fn reduce(state: &mut State, at: u64, event: Event) -> Vec<Effect> {
  state.now = state.now.max(at);
  apply_event(state, event);
  state.run_jobs();
  state.flush_due_claims();
  state.gossip();
  if state.next_housekeeping_at <= state.now {
    state.next_housekeeping_at = state.now + HOUSEKEEPING_INTERVAL_MS;
    run_housekeeping(state);
  }
  std::mem::take(&mut state.out)
}

fn apply_event(state: &mut State, event: Event) {
  match event {
    Event::Tick => {}
    Event::RequestArrived(descriptor) => {
      let ticket = descriptor.ticket;
      state.on_request_arrived(descriptor);
      report_new_demand(state, ticket);
    }
    Event::CallerLeft { ticket } => state.on_caller_left(ticket),
    Event::AttemptEnded {
      ticket,
      number,
      end,
      answer,
    } => state.on_attempt_ended(ticket, number, end, answer),
    Event::BatchRequested { ticket, id, change } => state.on_batch_requested(ticket, id, change),
    Event::ItemEnded { id, index, item } => state.on_item_ended(&id, index, item),
    Event::Updated { tag, name, outcome } => on_updated(state, tag, &name, outcome),
    Event::OrderEnded {
      replica,
      step,
      outcome,
    } => state.on_order_ended(replica, step, outcome),
    Event::Reported(status) => state.on_reported(status),
    Event::ConfigurationRead(objects) => state.on_configuration_read(objects),
    Event::BatchesListed(listed) => state.on_batches_listed(listed),
    Event::InstancesListed { revision, entries } => state.on_instances_listed(revision, entries),
    Event::Exchange { call, delta } => state.on_exchange(call, &delta),
    Event::Exchanged { peer, delta } => state.on_exchanged(&peer, delta.as_ref()),
    Event::Notified { from, items } => state.on_notified(&from, items),
    Event::ClaimsRequested {
      call,
      shard,
      changes,
    } => state.on_claims_requested(call, shard, changes),
    Event::ClaimAnswered {
      shard,
      group,
      outcomes,
    } => state.on_claim_answered(shard, group, outcomes),
    Event::Stop => stop(state),
  }
}

/// Reports new demand for a model without delay.
fn report_new_demand(state: &mut State, ticket: crate::request::Ticket) {
  let request = state.requests.get(&ticket);
  if let Some(key) = request.and_then(|request| request.group) {
    state.report_demand(key);
    state.decide_if_owned(key);
  }
}

fn on_updated(state: &mut State, tag: Tag, name: &Name, outcome: Outcome) {
  match tag {
    Tag::Job { replica, step } => state.on_job_updated(replica, step, outcome),
    Tag::Audit { model } => state.on_audited(&model, outcome),
    Tag::Inspect { server } => state.on_inspected_server(&server, outcome),
    Tag::Claims { shard, group } => state.on_claims_updated(shard, group, &outcome),
    Tag::Caller { ticket } => state.on_caller_updated(ticket, name, outcome),
    Tag::Batch { id } => state.on_batch_updated(&id, outcome),
  }
}

fn stop(state: &mut State) {
  if state.stopping {
    return;
  }
  state.stopping = true;
  state.log(Entry::Stopping);
  let key = crate::fact::Key::Member(state.me.instance.clone());
  let incarnation = state.facts.version(&key).1 / 4;
  state.announce(incarnation + 1);
}

fn run_housekeeping(state: &mut State) {
  state.log_updates();
  state.choose_watchers();
  state.refresh_owned();
  state.poll_servers();
  state.inspect_servers();
  state.retry_claims();
  state.run_batches();
  if state.next_recovery_at <= state.now {
    state.next_recovery_at = state.now + RECOVERY_INTERVAL_MS;
    state.audit();
    state.recover_all();
  }
  let groups: Vec<_> = state.active.iter().copied().collect();
  for key in groups {
    state.expire(key);
    state.dispatch_queued(key);
    state.report_demand(key);
    state.decide_if_owned(key);
    state.grant_shares(key);
    state.count_idle(key);
    state.retire_unneeded(key);
    state.deactivate_if_unused(key);
  }
  if state.stopping && !state.stopped && state.drained() {
    state.stopped = true;
    state.emit(Effect::Stopped);
  }
}

impl State {
  /// Decides whether a group needs another replica if this instance owns its model.
  pub fn decide_if_owned(&mut self, key: crate::group::Key) {
    let model = &self.groups[key].model;
    if self.owned.contains_key(model) {
      self.decide(key);
    }
  }

  /// Removes a group from housekeeping if it has no requests, demand or replicas.
  fn deactivate_if_unused(&mut self, key: crate::group::Key) {
    let group = &self.groups[key];
    let reported = group.reported.waiting + group.reported.running + group.unreported_arrivals > 0;
    let busy = !group.queue.is_empty() || group.running > 0 || reported;
    let policy = &group.policy;
    let owned = self.owned.contains_key(&group.model);
    let mut replicas = self.placement(&group.model).iter();
    let has_replicas = owned && replicas.any(|replica| replica.policy == *policy);
    let kept_loaded = owned && self.policy(policy).min_replicas > 0;
    if !busy && !has_replicas && !kept_loaded && !group.in_use(self.now) {
      self.active.remove(&key);
    }
  }

  /// Whether a planned stop has no work left to wait for.
  fn drained(&self) -> bool {
    self.requests.is_empty()
      && self.claims.is_idle()
      && self.batches.is_idle()
      && self
        .jobs
        .values()
        .all(|job| job.step == crate::job::Step::AwaitReady)
  }
}
