//! A running routing instance: its ports, its feeds and its planned stop.

use crate::{
  backend::{self, Spec},
  clock::Moment,
  dispatch::{Change, Event, State},
  edge::Edge,
  entry, feed, health,
  hub::Hub,
  planner,
  settings::{self, Settings},
  store::{Object, Revision},
};
use slog::{Logger, info, warn};
use std::{
  collections::HashMap,
  io,
  net::SocketAddr,
  sync::{Arc, atomic::Ordering},
  thread,
  time::Duration,
};

/// A balancer takes an instance out after two missed questions, asked each
/// second; until then it sends new connections.
const TAKEN_OUT: Duration = Duration::from_millis(3_000);
/// New requests are refused from this long before a balancer should have taken the
/// instance out, ms: it may go on sending when too few others are ready.
const NEW_MARGIN_MS: u64 = 300;
/// Part of the grace time that is left for the end of the process.
const GRACE_LEFT: Duration = Duration::from_millis(1_000);
/// Part of the rest in which requests that still wait are refused.
const REFUSE_LEFT: Duration = Duration::from_millis(1_000);
/// Pause between looks whether a planned stop is done.
const STOP_LOOK: Duration = Duration::from_millis(50);
/// Part of the bound for keys that were taken away during which what is known of them counts,
/// in hundredths: the rest is for a request's way here and to a server.
const KEY_AGE_PERCENT: u64 = 80;
/// Faulty entries remembered at the most: a writer of thousands must not take the memory of
/// an instance.
const FAULTY_MOST: usize = 256;
/// Stack of a feed's thread, bytes.
const STACK: usize = 256 << 10;

/// A running routing instance.
pub struct Router {
  pub hub: Arc<Hub>,
  pub callers: SocketAddr,
  pub health: Option<SocketAddr>,
  grace: Duration,
}

impl Router {
  /// Binds the ports and starts the feeds.
  pub fn spawn(settings: &Settings, edge: Edge, log: Logger) -> io::Result<Self> {
    let routing = settings.routing.clone().unwrap_or_default();
    let state = State::new(&settings.zone, routing.bound(), rand::random());
    let hub = Hub::new(state, edge.dialect, log)?;
    hub.state().set_quota_bound(routing.quota_bound());
    if routing.revoke_ms > 0 {
      hub.set_max_key_age(Duration::from_millis(
        routing.revoke_ms * KEY_AGE_PERCENT / 100,
      ));
    }
    let edge = Arc::new(edge);
    feed_deployments(&hub, &edge)?;
    feed_servers(&hub, &edge)?;
    planner::spawn(&hub, &edge, settings)?;
    let health = match &settings.health {
      Some(address) => Some(health::bind(&hub, address)?),
      None => None,
    };
    let callers = entry::bind(&hub, &settings.callers, settings.limits.requests)?;
    info!(hub.log, "started"; "callers" => %callers, "zone" => &settings.zone);
    Ok(Self {
      hub,
      callers,
      health,
      grace: Duration::from_millis(routing.grace_ms).saturating_sub(GRACE_LEFT),
    })
  }

  /// Takes up settings that were read again; only the budget of repeats changes
  /// while an instance runs.
  pub fn reload(&self, settings: Result<Settings, error_stack::Report<settings::Error>>) {
    match settings {
      Ok(settings) => {
        let bound = settings.routing.unwrap_or_default().bound();
        info!(self.hub.log, "settings read again"; "retry_ratio" => bound.ratio,
          "retry_slack" => bound.slack, "retry_window_ms" => bound.window_ms);
        self.hub.state().retry_bound = bound;
      }
      Err(error) => {
        warn!(self.hub.log, "settings are faulty, the last good ones stay in force";
          "error" => %error);
      }
    }
  }

  /// Stops as planned: no new callers, then the end of those that are here.
  pub fn stop(&self) {
    let began = Moment::now();
    let active = || self.hub.active.load(Ordering::Relaxed);
    info!(self.hub.log, "stopping"; "active" => active());
    self.hub.stop();
    let last = self.grace.saturating_sub(REFUSE_LEFT).as_millis() as u64;
    let now = self.hub.now();
    let new_until = now + TAKEN_OUT.as_millis() as u64 - NEW_MARGIN_MS;
    self.hub.apply(Event::Stopping(new_until, now + last), None);
    while began.elapsed() < TAKEN_OUT || (active() > 0 && began.elapsed() < self.grace) {
      thread::sleep(STOP_LOOK);
    }
    info!(self.hub.log, "stopped"; "active" => active(),
      "took_ms" => began.elapsed().as_millis() as u64);
  }
}

fn feed_deployments(hub: &Arc<Hub>, edge: &Arc<Edge>) -> io::Result<()> {
  let (hub, edge) = (hub.clone(), edge.clone());
  let builder = thread::Builder::new()
    .name("deployments".into())
    .stack_size(STACK);
  builder.spawn(move || {
    let gate = &hub.gates.deployments;
    feed::follow(
      &edge.store,
      edge.kinds.deployments,
      gate,
      &hub.log,
      |_, _| true,
      |change| {
        let objects = match change {
          feed::Event::All(objects) => objects,
          feed::Event::Some(objects) => objects
            .into_iter()
            .filter_map(|(object, removed)| (!removed).then_some(object))
            .collect(),
          feed::Event::Lost => {
            hub.measures.lost(edge.kinds.deployments);
            return false;
          }
          // The feed of the servers reports the store.
          feed::Event::Back(_) | feed::Event::Returned | feed::Event::Current => return false,
        };
        objects
          .iter()
          .filter(|object| deploy(&hub, &edge, object))
          .count()
          > 0
      },
    )
  })?;
  Ok(())
}

/// Takes up the deployment in an object; whether it is newer than the one in force.
fn deploy(hub: &Hub, edge: &Edge, object: &Object) -> bool {
  match (edge.deployment)(object) {
    Ok(Some(deployment)) => {
      let version = hub.state().deployment.as_ref().map(|known| known.version);
      if version >= Some(deployment.version) {
        return false;
      }
      info!(hub.log, "configured"; "version" => deployment.version,
        "revision" => %object.revision, "routes" => deployment.routes.len());
      hub.apply(Event::Deployed(Arc::new(deployment)), None);
      true
    }
    Ok(None) => false,
    Err(fault) => {
      warn!(hub.log, "configuration is faulty, the last good one stays in force";
        "object" => &object.name, "revision" => %object.revision, "fault" => fault);
      false
    }
  }
}

fn feed_servers(hub: &Arc<Hub>, edge: &Arc<Edge>) -> io::Result<()> {
  let (hub, edge) = (hub.clone(), edge.clone());
  let builder = thread::Builder::new()
    .name("servers".into())
    .stack_size(STACK);
  builder.spawn(move || {
    let gate = &hub.gates.servers;
    let mut faulty = Faulty::default();
    let matters = |object: &Object, removed: bool| matters(&hub, &edge, object, removed);
    feed::follow(
      &edge.store,
      edge.kinds.servers,
      gate,
      &hub.log,
      matters,
      |change| {
        let mut decode = |object: &Object| match (edge.server)(object) {
          Ok(spec) => Change::Set(spec),
          Err(fault) => {
            if faulty.insert(object) {
              hub.measures.faulty(edge.kinds.servers);
              warn!(hub.log, "entry is faulty and names no server"; "server" => &object.name,
              "revision" => %object.revision, "fault" => fault);
            }
            Change::Invalid(object.name.clone())
          }
        };
        let changes = match change {
          feed::Event::All(objects) => listed(objects.iter().map(decode).collect()),
          feed::Event::Some(objects) => objects
            .iter()
            .map(|(object, removed)| match removed {
              true => Change::Removed(object.name.clone()),
              false => decode(object),
            })
            .collect(),
          feed::Event::Lost => {
            hub.measures.lost(edge.kinds.servers);
            hub.apply(Event::StoreLost, None);
            return false;
          }
          feed::Event::Back(silence) => {
            hub.apply(Event::StoreBack(silence), None);
            return false;
          }
          feed::Event::Returned => {
            hub.apply(Event::StoreRestored, None);
            return false;
          }
          feed::Event::Current => {
            hub.apply(Event::StoreCurrent, None);
            return false;
          }
        };
        let matters = changes.iter().filter(|change| note(&hub, change)).count() > 0;
        hub.apply(Event::Servers(changes), None);
        let known: Vec<backend::Key> = hub.state().by_id.values().copied().collect();
        hub.pool.retain(|key| known.contains(&key));
        matters
      },
    )
  })?;
  Ok(())
}

/// Whether others need a server's entry that has changed: what it holds they learn otherwise.
fn matters(hub: &Hub, edge: &Edge, object: &Object, removed: bool) -> bool {
  if removed {
    return true;
  }
  let state = hub.state();
  match (edge.server)(object) {
    Ok(spec) => !known(&state, &spec),
    Err(_) => state.by_id.contains_key(&object.name),
  }
}

/// The changes that a whole list makes, of those that its entries make.
fn listed(entries: Vec<Change>) -> Vec<Change> {
  let mut specs = Vec::new();
  let mut changes = Vec::new();
  for entry in entries {
    match entry {
      Change::Set(spec) => specs.push(spec),
      other => changes.push(other),
    }
  }
  changes.insert(0, Change::All(specs));
  changes
}

/// Revisions of entries that were found faulty, by name: each is logged once, not with every
/// list.
#[derive(Default)]
struct Faulty {
  revisions: HashMap<String, Revision>,
}

impl Faulty {
  /// Remembers an entry; whether it is new.
  fn insert(&mut self, object: &Object) -> bool {
    if self.revisions.len() >= FAULTY_MOST {
      self.revisions.clear();
    }
    let known = self.revisions.insert(object.name.clone(), object.revision);
    known != Some(object.revision)
  }
}

/// Logs what has changed of a server besides its holdings; whether anything has.
fn note(hub: &Hub, change: &Change) -> bool {
  let state = hub.state();
  match change {
    Change::All(specs) => {
      info!(hub.log, "servers read"; "count" => specs.len());
      specs.len() != state.by_id.len() || !specs.iter().all(|spec| known(&state, spec))
    }
    Change::Set(spec) => {
      if known(&state, spec) {
        return false;
      }
      info!(hub.log, "server"; "server" => &spec.id, "pool" => &spec.pool,
        "stage" => format!("{:?}", spec.stage), "address" => %spec.address);
      true
    }
    Change::Removed(_) => true,
    Change::Invalid(id) => state.by_id.contains_key(id),
  }
}

/// Whether a server is known as it states itself, its holdings apart.
fn known(state: &State, spec: &Spec) -> bool {
  let Some(key) = state.by_id.get(&spec.id) else {
    return false;
  };
  let backend = &state.backends[*key];
  // An entry that is back is a change for instances that miss it too.
  let same = backend.spec.stage == spec.stage && backend.spec.address == spec.address;
  same && backend.missing_since.is_none()
}
