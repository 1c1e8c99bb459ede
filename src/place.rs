//! Choice of servers for new replicas, and of idle replicas to evict.

use crate::{
  group,
  policy::{Evict, Place, Policy},
  replica::Target,
  report::{Report, Stage, Tier},
  server,
  state::State,
};

/// Estimated cost of placing a replica where another one must be evicted.
const EVICTION_COST_MS: u64 = 400;
/// Estimated cost of placing a second replica in an availability zone.
const SAME_ZONE_COST_MS: u64 = 200;

impl State {
  /// Chooses the best server for a new replica of a group; `None` if no server can hold
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
      let server_state = &self.servers[server];
      if server_state.avoid_until.max(server_state.full_until) > self.now {
        continue;
      }
      if let Some(score) = self.score(&model, &policy, server) {
        let tie_breaker = self.random(1 << 16);
        scored.push((score, tie_breaker, name));
      }
    }
    scored.into_iter().min().map(|(.., name)| name)
  }

  /// Cost of placing a model on a server; `None` if the server cannot hold the model.
  fn score(&self, model: &str, policy: &Policy, key: server::Key) -> Option<u64> {
    let spec = self.catalog.models.get(model)?;
    let server = &self.servers[key];
    let capacity_mb = self.spec(&server.name)?.memory_mb;
    let decided = server.decided.values().any(|other| other == model);
    if spec.memory_mb > capacity_mb || decided {
      return None;
    }
    if let Some(base) = &spec.base
      && !self.is_base_ready(server, base)
    {
      return None;
    }
    let used_mb: u64 = self.decided_mb(server);
    let needs_eviction = used_mb + spec.memory_mb > capacity_mb;
    let score = match policy.place {
      Place::LeastLoaded => used_mb + if needs_eviction { capacity_mb } else { 0 },
      Place::Soonest => {
        let load_ms = self.load_estimate(model, server.tier(model));
        let queue_ms = self.pending_loads_ms(server, model);
        load_ms + queue_ms + if needs_eviction { EVICTION_COST_MS } else { 0 }
      }
    };
    Some(score + self.zone_cost(model, policy, &server.name))
  }

  /// Whether another server has memory for the model besides the replicas decided for it.
  pub fn fits_elsewhere(&self, model: &str, policy: &Policy, except: &str) -> bool {
    let Some(spec) = self.catalog.models.get(model) else {
      return false;
    };
    let mut servers = self.catalog.servers.iter();
    servers.any(|(name, server)| {
      let Some(key) = self.server_keys.get(name) else {
        return false;
      };
      let server_state = &self.servers[*key];
      name != except
        && policy.servers.matches(&server.labels)
        && self.is_usable(name)
        && server_state.avoid_until.max(server_state.full_until) <= self.now
        && self.decided_mb(server_state) + spec.memory_mb <= server.memory_mb
        && spec
          .base
          .as_ref()
          .is_none_or(|base| self.is_base_ready(server_state, base))
    })
  }

  fn is_base_ready(&self, server: &server::Server, base: &str) -> bool {
    let mut replicas = self.placement(base).iter();
    replicas.any(|replica| {
      replica.server == server.name && replica.target == Target::Loaded && server.ready(replica.id)
    })
  }

  /// Memory in MB of the replicas decided for a server.
  pub fn decided_mb(&self, server: &server::Server) -> u64 {
    let models = server.decided.values();
    let specs = models.filter_map(|model| self.catalog.models.get(model));
    specs.map(|spec| spec.memory_mb).sum()
  }

  /// Estimated load time in ms; 0 if the model is not configured.
  pub fn load_estimate(&self, model: &str, tier: Tier) -> u64 {
    let memory_mb = self.catalog.models.get(model).map(|spec| spec.memory_mb);
    memory_mb.unwrap_or_default() * self.load_us_per_mb[tier as usize] / 1_000
  }

  /// Estimated time in ms of the loads in progress on the server, which run one after
  /// the other where they share its path to the weight store.
  fn pending_loads_ms(&self, server: &server::Server, model: &str) -> u64 {
    let loading = server.decided.iter().filter(|(id, _)| !server.ready(**id));
    loading
      .filter(|(_, other)| other.as_str() != model)
      .map(|(_, other)| self.load_estimate(other, server.tier(other)))
      .sum::<u64>()
  }

  fn zone_cost(&self, model: &str, policy: &Policy, server: &str) -> u64 {
    let zone = self.spec(server).map(|spec| &spec.zone);
    let has_replica = self
      .placement(model)
      .iter()
      .any(|replica| self.spec(&replica.server).map(|spec| &spec.zone) == zone);
    if policy.spread && has_replica {
      SAME_ZONE_COST_MS
    } else {
      0
    }
  }

  /// Idle replicas whose eviction frees at least `need_mb` on a server, in the order of
  /// the policy; empty if they do not suffice.
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
      .filter(|resident| {
        resident.model != group.model && !self.has_loaded_adapters(report, &resident.model)
      })
      .filter(|resident| !self.is_base_of(&resident.model, &group.model))
      .collect();
    idle.sort_by_key(|resident| match policy.evict {
      Evict::Oldest => (u64::MAX - resident.idle_ms, resident.replica),
      Evict::Cheapest => {
        let reload_ms = self.load_estimate(&resident.model, report.tier(&resident.model));
        (reload_ms * 1_000 / (resident.idle_ms + 1), resident.replica)
      }
    });
    let mut freed_mb = 0;
    let mut chosen = Vec::new();
    for resident in idle {
      if freed_mb >= need_mb {
        break;
      }
      let spec = self.catalog.models.get(&resident.model);
      freed_mb += spec.map(|spec| spec.memory_mb).unwrap_or_default();
      chosen.push((resident.model.clone(), resident.replica));
    }
    if freed_mb >= need_mb {
      chosen
    } else {
      Vec::new()
    }
  }

  fn is_base_of(&self, base: &str, model: &str) -> bool {
    let spec = self.catalog.models.get(model);
    spec.is_some_and(|spec| spec.base.as_deref() == Some(base))
  }

  /// Whether the engine holds adapters of the model.
  pub fn has_loaded_adapters(&self, report: &Report, base: &str) -> bool {
    let mut residents = report.residents.iter();
    residents.any(|resident| self.is_base_of(base, &resident.model))
  }
}
