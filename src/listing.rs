//! Backend servers of a routing instance: as the store lists them, and as the planner
//! publishes them.

use crate::{
  backend::{self, Backend, Holding, Spec, Stage},
  dispatch::{Change, Effect, State},
  reachability::Outage,
};

/// A holding published for a server without an entry is kept for this long, ms: its entry
/// comes by another path, where it must be read again some seconds later at the most.
const EARLY_MS: u64 = 10_000;

impl State {
  pub(crate) fn update_servers(&mut self, changes: Vec<Change>) {
    self.changes += 1;
    for change in changes {
      match change {
        Change::All(specs) => {
          let gone: Vec<String> = self
            .by_id
            .keys()
            .filter(|id| !specs.iter().any(|spec| spec.id == **id))
            .cloned()
            .collect();
          gone.iter().for_each(|id| self.gone(id));
          specs.into_iter().for_each(|spec| self.set_listed(spec));
          self.listed = true;
        }
        Change::Set(spec) => self.set(spec),
        Change::Removed(id) => self.gone(&id),
        Change::Invalid(id) => self.remove(&id),
      }
    }
    self.drop_missing();
    self.dispatch_waiting();
  }

  /// Takes up an entry of a whole list, which the store may have from an older copy.
  fn set_listed(&mut self, spec: Spec) {
    let (id, life) = (spec.id.clone(), spec.life());
    let known = self.by_id.get(&id);
    let before = known.map_or(0, |key| self.backends[*key].unconfirmed_until);
    let unsure_until = match known {
      Some(_) => before,
      None => self.restored.unconfirmed_until(life, self.now),
    };
    self.set(spec);
    if let Some(key) = self.by_id.get(&id) {
      self.backends[*key].unconfirmed_until = unsure_until;
    }
  }

  fn set(&mut self, spec: Spec) {
    if spec.stage == Stage::Draining {
      self.read_leaving(spec.life());
    }
    let known = self.by_id.get(&spec.id);
    let known = known.map(|key| self.backends[*key].spec.life());
    if known.is_some_and(|known| known.supersedes(spec.life())) {
      return;
    }
    if known.is_some_and(|known| spec.life().supersedes(known)) {
      // Requests that still run there keep their place in the life that has ended.
      self.remove(&spec.id);
    }
    match self.by_id.get(&spec.id) {
      Some(key) => {
        let backend = &mut self.backends[*key];
        backend.spec = spec;
        backend.spec_received_at = self.now;
        backend.missing_since = None;
        backend.replaced = false;
        backend.unconfirmed_until = 0;
        backend.leaving = self.leaving.contains(backend.spec.life());
      }
      None => {
        let id = spec.id.clone();
        let mut backend = Backend::new(spec, self.now);
        if let Some((holding, _)) = self.early_holdings.remove(&id)
          && holding.life().applies_to(backend.spec.life())
        {
          backend.update(holding, self.now);
        }
        // An entry that comes back may be older than what the server said.
        backend.leaving = self.leaving.contains(backend.spec.life());
        let key = self.backends.insert(backend);
        self.by_id.insert(id, key);
      }
    }
  }

  /// The store answers again.
  pub(crate) fn store_back(&mut self, silence: &Outage) {
    let missing = self.lapsed().next().is_some();
    self.expiry.store_back(self.now, silence, missing);
  }

  /// Servers whose entries are missing and may come back.
  fn lapsed(&self) -> impl Iterator<Item = &Backend> {
    self
      .backends
      .values()
      .filter(|backend| backend.missing_since.is_some())
  }

  /// Gives up the servers whose entries did not come back in time.
  pub(crate) fn drop_missing(&mut self) {
    if !self.expiry.take_ended(self.now) {
      return;
    }
    let ids: Vec<String> = self
      .lapsed()
      .map(|backend| backend.spec.id.clone())
      .collect();
    self.changes += u64::from(!ids.is_empty());
    for id in ids {
      let life = self.backends[self.by_id[&id]].spec.life();
      self.restored.record_removal(life, self.now);
      self.remove(&id);
      self.out.push(Effect::Expired(id));
    }
  }

  /// A server's entry is gone; around the store's silence that says little of the
  /// server, unless it was leaving.
  fn gone(&mut self, id: &str) {
    let Some(key) = self.by_id.get(id).copied() else {
      return;
    };
    let backend = &mut self.backends[key];
    if backend.missing_since.is_some() {
      return;
    }
    let id = id.to_string();
    match self.expiry.remaining_ms(self.now) {
      Some(kept_ms) if !backend.is_leaving() => {
        backend.missing_since = Some(self.now);
        self.out.push(Effect::Missing { id, kept_ms });
      }
      _ => {
        let life = backend.spec.life();
        self.restored.record_removal(life, self.now);
        self.remove(&id);
        self.out.push(Effect::Removed(id));
      }
    }
  }

  /// A server that is gone keeps its place while requests run there.
  fn remove(&mut self, id: &str) {
    let Some(key) = self.by_id.get(id).copied() else {
      return;
    };
    self.backends[key].spec.stage = Stage::Draining;
    if self.backends[key].running == 0 {
      self.drop_backend(key);
    } else {
      self.by_id.remove(id);
    }
  }

  fn drop_backend(&mut self, key: backend::Key) {
    if let Some(backend) = self.backends.remove(key) {
      self.by_id.remove(&backend.spec.id);
    }
  }

  pub(crate) fn receive_holdings(&mut self, holdings: Vec<Holding>, all: Option<(u32, u32)>) {
    let now = self.now;
    self
      .early_holdings
      .retain(|_, (_, came)| now < *came + EARLY_MS);
    if let Some((group, groups)) = all {
      self
        .early_holdings
        .retain(|id, _| backend::group(id, groups) != group);
      for backend in self.backends.values_mut() {
        if backend::group(&backend.spec.id, groups) == group {
          backend.holding = None;
          backend.loading = None;
        }
      }
    }
    let changed = !holdings.is_empty();
    self.updates += u64::from(changed || all.is_some());
    for holding in holdings {
      match self.by_id.get(&holding.id) {
        Some(key) => {
          let known = self.backends[*key].spec.clone();
          if known.life().supersedes(holding.life()) {
            continue;
          }
          if holding.life().supersedes(known.life()) {
            self.set(reborn(&known, &holding));
          }
          let key = self.by_id[&holding.id];
          self.backends[key].update(holding, now);
        }
        None => {
          self
            .early_holdings
            .insert(holding.id.clone(), (holding, now));
        }
      }
    }
    if changed {
      self.dispatch_waiting();
    }
  }

  pub(crate) fn update_loads(&mut self, loads: &[(u32, u16)]) {
    for backend in self.backends.values_mut() {
      let short = backend.spec.life().short_hash();
      // A server that is not named has none.
      let load = loads.iter().find(|(id, _)| *id == short);
      backend.load = load.map_or(0, |(_, load)| u32::from(*load));
      backend.running_at_publish = backend.running;
    }
  }
}

/// A server that started again, as far as the planner has published: what it had in memory
/// is gone, what lies on its disk survives.
fn reborn(known: &Spec, holding: &Holding) -> Spec {
  Spec {
    born: holding.born,
    stage: Stage::Ready,
    models: holding.models.clone(),
    in_memory: Vec::new(),
    ..known.clone()
  }
}
