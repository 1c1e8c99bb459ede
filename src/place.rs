//! Where a new replica goes, and which idle replica gives way.

use crate::{
  group,
  policy::{Evict, Place, Policy},
  replica::Target,
  report::{Report, Stage, Tier},
  server,
  state::State,
};

/// Estimated cost, in ms, of putting a replica where another must give way.
const GIVE_WAY_MS: u64 = 400;
/// Estimated cost, in ms, of a second replica in an availability zone.
const SAME_ZONE_MS: u64 = 200;

impl State {
  /// The best server for a new replica of a group; none when no server can take
  /// it now.
  pub fn choose_server(&mut self, key: group::Key) -> Option<String> {
    let group = &self.groups[key];
    let model = group.model.clone();
    let policy = self.policy(&group.policy);
    let candidates: Vec<String> = self
      .catalog
      .servers
      .iter()
      .filter(|(name, spec)| policy.servers.matches(&spec.labels) && self.is_usable(name))
      .map(|(name, _)| name.clone())
      .collect();
    let mut scored = Vec::new();
    for name in candidates {
      let server = self.server(&name);
      let known = &self.servers[server];
      if known.avoid_until.max(known.full_until) > self.now {
        continue;
      }
      if let Some(score) = self.score(&model, &policy, server) {
        let tie = self.random(1 << 16);
        scored.push((score, tie, name));
      }
    }
    scored.into_iter().min().map(|(.., name)| name)
  }

  /// Lower is better; `None`: the server cannot hold the model.
  fn score(&self, model: &str, policy: &Policy, key: server::Key) -> Option<u64> {
    let spec = self.catalog.models.get(model)?;
    let server = &self.servers[key];
    let capacity = self.spec(&server.name)?.memory_mb;
    let held = server.decided.values().any(|decided| decided == model);
    if spec.memory_mb > capacity || held {
      return None;
    }
    if let Some(base) = &spec.base
      && !self.base_ready(server, base)
    {
      return None;
    }
    let used: u64 = self.decided_mb(server);
    let short = used + spec.memory_mb > capacity;
    let score = match policy.place {
      Place::LeastLoaded => used + if short { capacity } else { 0 },
      Place::Soonest => {
        let load = self.load_estimate(model, server.tier(model));
        let queue = self.loads_ahead(server, model);
        load + queue + if short { GIVE_WAY_MS } else { 0 }
      }
    };
    Some(score + self.zone_cost(model, policy, &server.name))
  }

  /// Whether another server has memory left for the model, as far as decided.
  pub fn room_elsewhere(&self, model: &str, policy: &Policy, except: &str) -> bool {
    let Some(spec) = self.catalog.models.get(model) else {
      return false;
    };
    let mut servers = self.catalog.servers.iter();
    servers.any(|(name, server)| {
      let Some(key) = self.server_keys.get(name) else {
        return false;
      };
      let known = &self.servers[*key];
      name != except
        && policy.servers.matches(&server.labels)
        && self.is_usable(name)
        && known.avoid_until.max(known.full_until) <= self.now
        && self.decided_mb(known) + spec.memory_mb <= server.memory_mb
        && spec
          .base
          .as_ref()
          .is_none_or(|base| self.base_ready(known, base))
    })
  }

  fn base_ready(&self, server: &server::Server, base: &str) -> bool {
    let mut replicas = self.placement(base).iter();
    replicas.any(|replica| {
      replica.server == server.name && replica.target == Target::Loaded && server.ready(replica.id)
    })
  }

  /// Memory decided for a server, MB.
  pub fn decided_mb(&self, server: &server::Server) -> u64 {
    let models = server.decided.values();
    let specs = models.filter_map(|model| self.catalog.models.get(model));
    specs.map(|spec| spec.memory_mb).sum()
  }

  /// Estimated time of a load, ms.
  pub fn load_estimate(&self, model: &str, tier: Tier) -> u64 {
    let memory = self.catalog.models.get(model).map(|spec| spec.memory_mb);
    memory.unwrap_or_default() * self.load_rates[tier as usize] / 1_000
  }

  /// Loads under way on the server are done one after the other where they share
  /// its path to the weight store.
  fn loads_ahead(&self, server: &server::Server, model: &str) -> u64 {
    let loading = server.decided.iter().filter(|(id, _)| !server.ready(**id));
    loading
      .filter(|(_, other)| other.as_str() != model)
      .map(|(_, other)| self.load_estimate(other, server.tier(other)))
      .sum::<u64>()
  }

  fn zone_cost(&self, model: &str, policy: &Policy, server: &str) -> u64 {
    let zone = self.spec(server).map(|spec| &spec.zone);
    let taken = self
      .placement(model)
      .iter()
      .any(|replica| self.spec(&replica.server).map(|spec| &spec.zone) == zone);
    if policy.spread && taken {
      SAME_ZONE_MS
    } else {
      0
    }
  }

  /// Idle replicas on a server that free at least `need_mb`, cheapest first; empty
  /// when there are not enough.
  pub fn victims(
    &self,
    key: group::Key,
    report: &Report,
    need_mb: u64,
  ) -> Vec<(String, crate::replica::Id)> {
    let group = &self.groups[key];
    let policy = self.policy(&group.policy);
    let mut idle: Vec<_> = report
      .residents
      .iter()
      .filter(|resident| resident.stage == Stage::Ready && resident.running == 0)
      .filter(|resident| resident.idle_ms >= self.limits.yield_ms)
      .filter(|resident| resident.model != group.model && !self.carries(report, &resident.model))
      .filter(|resident| !self.is_base_of(&resident.model, &group.model))
      .collect();
    idle.sort_by_key(|resident| match policy.evict {
      Evict::Oldest => (u64::MAX - resident.idle_ms, resident.replica),
      Evict::Cheapest => {
        let reload = self.load_estimate(&resident.model, report.tier(&resident.model));
        (reload * 1_000 / (resident.idle_ms + 1), resident.replica)
      }
    });
    let mut freed = 0;
    let mut chosen = Vec::new();
    for resident in idle {
      if freed >= need_mb {
        break;
      }
      let spec = self.catalog.models.get(&resident.model);
      freed += spec.map(|spec| spec.memory_mb).unwrap_or_default();
      chosen.push((resident.model.clone(), resident.replica));
    }
    if freed >= need_mb { chosen } else { Vec::new() }
  }

  fn is_base_of(&self, base: &str, model: &str) -> bool {
    let spec = self.catalog.models.get(model);
    spec.is_some_and(|spec| spec.base.as_deref() == Some(base))
  }

  /// Whether adapters of the model are on the engine.
  pub fn carries(&self, report: &Report, base: &str) -> bool {
    let mut residents = report.residents.iter();
    residents.any(|resident| self.is_base_of(base, &resident.model))
  }
}
