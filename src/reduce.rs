//! The reducer: one event in, new state and effects out.
//!
//! Time, randomness and the outcomes of effects all come in as events, so the
//! same events in the same order give the same effects.

use crate::{
  effect::Effect,
  event::{Event, Tag},
  journal::Entry,
  object::Name,
  state::State,
  update::Outcome,
};

/// Pause between two rounds of housekeeping, ms.
const CHORES_MS: u64 = 50;

/// Pause between two rounds through all owned models, ms.
const ROUNDS_MS: u64 = 250;

/// Takes up an event that happened at `at` (ms) and says what to do.
pub fn reduce(state: &mut State, at: u64, event: Event) -> Vec<Effect> {
  state.now = state.now.max(at);
  take_up(state, event);
  state.run_jobs();
  state.flush_due_claims();
  state.gossip();
  if state.next_housekeeping_at <= state.now {
    state.next_housekeeping_at = state.now + CHORES_MS;
    chores(state);
  }
  std::mem::take(&mut state.out)
}

fn take_up(state: &mut State, event: Event) {
  match event {
    Event::Tick => {}
    Event::RequestArrived(ask) => {
      let ticket = ask.ticket;
      state.on_asked(ask);
      report_demand(state, ticket);
    }
    Event::CallerLeft { ticket } => state.on_caller_left(ticket),
    Event::AttemptEnded {
      ticket,
      number,
      end,
      answer,
    } => state.on_ended(ticket, number, end, answer),
    Event::BatchRequested { ticket, id, change } => state.on_batch_asked(ticket, id, change),
    Event::ItemEnded {
      id,
      index: at,
      item,
    } => state.on_item_ended(&id, at, item),
    Event::Updated { tag, name, outcome } => on_updated(state, tag, &name, outcome),
    Event::OrderEnded {
      replica,
      step,
      outcome,
    } => state.on_ordered(replica, step, outcome),
    Event::Reported(status) => state.on_reported(status),
    Event::Watched(objects) => state.on_watched(objects),
    Event::BatchesListed(listed) => state.on_batches_listed(listed),
    Event::Listed { revision, entries } => state.on_listed(revision, entries),
    Event::Exchange { call, delta } => state.on_exchange(call, &delta),
    Event::Exchanged { peer, delta } => state.on_exchanged(&peer, delta.as_ref()),
    Event::Notified { from, items } => state.on_notified(&from, items),
    Event::ClaimsRequested {
      call,
      shard,
      changes,
    } => state.on_claim_asked(call, shard, changes),
    Event::ClaimAnswered {
      shard,
      group,
      outcomes,
    } => state.on_claim_answered(shard, group, outcomes),
    Event::Stop => stop(state),
  }
}

/// Demand for a model that has just begun is reported at once.
fn report_demand(state: &mut State, ticket: crate::ask::Ticket) {
  let request = state.requests.get(&ticket);
  if let Some(key) = request.and_then(|request| request.group) {
    state.report_demand(key);
    state.decide_own(key);
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

fn chores(state: &mut State) {
  state.note_updates();
  state.choose_watchers();
  state.refresh_owned();
  state.poll_servers();
  state.inspect_servers();
  state.tend_claims();
  state.tend_batches();
  if state.next_recovery_at <= state.now {
    state.next_recovery_at = state.now + ROUNDS_MS;
    state.audit();
    state.recover_all();
  }
  let groups: Vec<_> = state.active.iter().copied().collect();
  for key in groups {
    state.expire(key);
    state.dispatch_queued(key);
    state.report_demand(key);
    state.decide_own(key);
    state.share(key);
    state.count_idle(key);
    state.let_go(key);
    state.rest(key);
  }
  if state.stopping && !state.stopped && state.drained() {
    state.stopped = true;
    state.emit(Effect::Stopped);
  }
}

impl State {
  /// Decides for a group whose model this instance owns.
  pub fn decide_own(&mut self, key: crate::group::Key) {
    let model = &self.groups[key].model;
    if self.owned.contains_key(model) {
      self.decide(key);
    }
  }

  /// Takes a group out of housekeeping when nothing of it is left.
  fn rest(&mut self, key: crate::group::Key) {
    let group = &self.groups[key];
    let reported = group.reported.waiting + group.reported.running + group.unreported_arrivals > 0;
    let busy = !group.queue.is_empty() || group.running > 0 || reported;
    let policy = &group.policy;
    let owned = self.owned.contains_key(&group.model);
    let mut replicas = self.placement(&group.model).iter();
    let held = owned && replicas.any(|replica| replica.policy == *policy);
    let standing = owned && self.policy(policy).min_replicas > 0;
    if !busy && !held && !standing && !group.in_use(self.now) {
      self.active.remove(&key);
    }
  }

  /// Whether a planned stop has nothing left to wait for.
  fn drained(&self) -> bool {
    self.requests.is_empty()
      && self.claims.idle()
      && self.batches.idle()
      && self
        .jobs
        .values()
        .all(|job| job.step == crate::job::Step::AwaitReady)
  }
}
