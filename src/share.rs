//! Demand reported to the owner of a model, and shares of slots granted by the owner.
//!
//! Only the owner knows which instances have requests, so it limits the requests of each
//! instance at a replica. Shares are soft state: without one, an instance uses its own
//! estimate of the replica's load.

use crate::{
  effect::Effect,
  group::{self, DEMAND_REPORT_INTERVAL_MS, Demand, SOFT_STATE_MS, Share},
  notice::Notice,
  replica::{Id, Target},
  settings::Dispatch,
  state::State,
};
use std::collections::BTreeMap;

impl State {
  /// Reports the demand of this instance for a group to the owner of its model.
  pub fn report_demand(&mut self, key: group::Key) {
    let group = &self.groups[key];
    let demand = Demand {
      waiting: group.queue.len() as u32,
      running: group.running,
      at: self.now,
    };
    let reported = group.reported;
    let is_unchanged = reported.waiting == demand.waiting && reported.running == demand.running;
    let is_idle = demand.waiting + demand.running + group.unreported_arrivals == 0;
    let starts_or_stops_waiting = (reported.waiting == 0) != (demand.waiting == 0);
    let may_report = self.now >= reported.at + DEMAND_REPORT_INTERVAL_MS / 4;
    let must_refresh = self.now >= reported.at + DEMAND_REPORT_INTERVAL_MS;
    if (is_idle && is_unchanged)
      || !(starts_or_stops_waiting || (may_report && !is_unchanged) || (must_refresh && !is_idle))
    {
      return;
    }
    let arrived = std::mem::take(&mut self.groups[key].unreported_arrivals);
    self.groups[key].reported = demand;
    let group = &self.groups[key];
    let (model, policy) = (group.model.clone(), group.policy.clone());
    let owner = self.members.owner(&model).map(str::to_string);
    match owner {
      Some(owner) if owner != self.me.instance => {
        let notice = Notice::Demand {
          model,
          policy,
          waiting: demand.waiting,
          running: demand.running,
          arrived,
        };
        self.notify(&owner, notice);
      }
      _ => {
        let me = self.me.instance.clone();
        self.groups[key].record_demand(&me, demand, arrived);
      }
    }
  }

  /// Sends a notice to an instance if its address is known.
  pub fn notify(&mut self, instance: &str, notice: Notice) {
    if let Some(address) = self.peer_address(instance) {
      self.emit(Effect::Notify {
        address,
        items: vec![notice],
      });
    }
  }

  /// Processes notices of another instance.
  pub fn on_notified(&mut self, from: &str, items: Vec<Notice>) {
    for item in items {
      match item {
        Notice::Demand {
          model,
          policy,
          waiting,
          running,
          arrived,
        } => self.on_demand(from, &model, &policy, (waiting, running, arrived)),
        Notice::Share {
          model,
          policy,
          replica,
          slots,
        } => self.on_share(&model, &policy, replica, slots),
        Notice::Yield { model, replica } => self.on_yield(&model, replica),
      }
    }
  }

  fn on_demand(&mut self, from: &str, model: &str, policy: &str, counts: (u32, u32, u32)) {
    let (waiting, running, arrived) = counts;
    let key = self.group(model, policy);
    let at = self.now;
    let demand = Demand {
      waiting,
      running,
      at,
    };
    self.groups[key].record_demand(from, demand, arrived);
    self.mark_active(key);
    self.decide(key);
    self.grant_shares(key);
  }

  fn on_share(&mut self, model: &str, policy: &str, replica: Id, slots: u32) {
    let now = self.now;
    let until = now + SOFT_STATE_MS;
    let key = self.group(model, policy);
    let shares = &mut self.groups[key].shares;
    shares.retain(|_, share| share.until > now);
    shares.insert(replica, Share { slots, until });
    self.dispatch_queued(key);
  }

  /// Replicas of a group that are decided to be loaded.
  fn decided_replicas(&self, key: group::Key) -> Vec<Id> {
    let group = &self.groups[key];
    self
      .placement(&group.model)
      .iter()
      .filter(|replica| replica.policy == group.policy && replica.target == Target::Loaded)
      .map(|replica| replica.id)
      .collect()
  }

  /// Grants the slots of a group's replicas to instances in proportion to demand.
  pub fn grant_shares(&mut self, key: group::Key) {
    let group = &self.groups[key];
    if self.limits.dispatch == Dispatch::Push || !self.owned.contains_key(&group.model) {
      return;
    }
    let demand: BTreeMap<String, u32> = group
      .demand
      .iter()
      .filter(|(_, demand)| demand.at + SOFT_STATE_MS > self.now)
      .map(|(instance, demand)| (instance.clone(), demand.waiting + demand.running))
      .filter(|(_, requests)| *requests > 0)
      .collect();
    let ids = self.decided_replicas(key);
    let slots: Vec<(Id, u32)> = ids
      .into_iter()
      .filter_map(|id| Some((id, self.slots_of(key, id)?)))
      .collect();
    let total_demand: u32 = demand.values().sum();
    let total_slots: u32 = slots.iter().map(|(_, slots)| slots).sum();
    // If demand is far below the slots, instances do not compete for them.
    if demand.is_empty() || total_demand * 2 < total_slots {
      return;
    }
    let rotation = (self.now / SOFT_STATE_MS) as usize;
    for (id, instance, slots) in divide(&slots, &demand, rotation) {
      self.grant_share(key, id, &instance, slots);
    }
  }

  fn slots_of(&self, key: group::Key, id: Id) -> Option<u32> {
    let placement = self.placement(&self.groups[key].model);
    let replica = placement.iter().find(|replica| replica.id == id)?;
    Some(self.spec(&replica.server)?.slots)
  }

  fn grant_share(&mut self, key: group::Key, id: Id, instance: &str, slots: u32) {
    let now = self.now;
    let share_key = (id, instance.to_string());
    let is_fresh = |share: &Share| share.slots == slots && share.until > now + SOFT_STATE_MS / 2;
    if self.groups[key]
      .granted_shares
      .get(&share_key)
      .is_some_and(is_fresh)
    {
      return;
    }
    let until = now + SOFT_STATE_MS;
    self.groups[key]
      .granted_shares
      .retain(|_, share| share.until > now);
    self.groups[key]
      .granted_shares
      .insert(share_key, Share { slots, until });
    if instance == self.me.instance {
      let share = Share { slots, until };
      self.groups[key].shares.insert(id, share);
      self.dispatch_queued(key);
    } else {
      let group = &self.groups[key];
      let notice = Notice::Share {
        model: group.model.clone(),
        policy: group.policy.clone(),
        replica: id,
        slots,
      };
      self.notify(instance, notice);
    }
  }
}

/// Divides the slots of each replica in proportion to demand by the largest remainder
/// method. `rotation` rotates the order of ties so that no instance starves.
pub fn divide(
  replicas: &[(Id, u32)],
  demand: &BTreeMap<String, u32>,
  rotation: usize,
) -> Vec<(Id, String, u32)> {
  let total: u64 = demand.values().map(|requests| u64::from(*requests)).sum();
  let instance_count = demand.len();
  let mut shares = Vec::new();
  for (id, slots) in replicas {
    let slots = u64::from(*slots);
    let mut parts: Vec<(u64, u64, usize, &String)> = demand
      .iter()
      .enumerate()
      .map(|(index, (instance, requests))| {
        let exact = slots * u64::from(*requests);
        let tie = (index + rotation) % instance_count;
        (exact / total, exact % total, tie, instance)
      })
      .collect();
    let mut remaining = slots - parts.iter().map(|part| part.0).sum::<u64>();
    parts.sort_by_key(|part| (std::cmp::Reverse(part.1), part.2));
    for part in &mut parts {
      let extra = u64::from(remaining > 0);
      part.0 += extra;
      remaining -= extra;
    }
    let granted = parts
      .into_iter()
      .map(|(slots, _, _, instance)| (*id, instance.clone(), slots as u32));
    shares.extend(granted);
  }
  shares
}
