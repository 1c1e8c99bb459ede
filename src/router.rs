//! A running routing instance: its ports, its store feeds and its graceful shutdown.

use crate::{
  backend::{self, Spec},
  build::streams::Streams,
  clock::Moment,
  dispatch::{Change, Event, State},
  edge::Edge,
  entry, essential,
  feed::{self, Source},
  health,
  hub::{Hub, Shutdown},
  planner, reader,
  settings::{self, Settings},
  store::Object,
  unlisted,
};
use slog::{Logger, info, warn};
use std::{
  collections::{BTreeSet, HashMap, HashSet},
  io,
  net::SocketAddr,
  sync::Arc,
  thread,
  time::Duration,
};

/// Load balancers remove an instance after two failed health checks, one each second, and send new
/// connections until then.
const BALANCER_REMOVAL: Duration = Duration::from_millis(3_000);
/// New requests are refused from this long before load balancers should have removed the instance:
/// they may continue to send requests when too few other instances are ready.
const REMOVAL_MARGIN_MS: u64 = 300;
/// Maximum part of the grace period reserved for the exit of the process.
const EXIT_RESERVE: Duration = Duration::from_millis(1_000);
/// A shorter grace period divided by this is reserved: runs are to go on until its last sixth.
const EXIT_RESERVE_DIVISOR: u32 = 8;
/// Part of the remaining grace period in which requests that still wait are refused, unless their
/// answer has begun.
const REFUSAL_RESERVE: Duration = Duration::from_millis(1_000);
/// Time before the exit at which what still waits or runs is ended, so that it ends in order.
const END_RESERVE: Duration = Duration::from_millis(100);
/// Interval at which a graceful shutdown checks whether it is complete.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Share of the time limit for revoking keys during which known keys are trusted, in percent. The
/// rest is for a request's way to this instance and to a server.
const KEY_AGE_PERCENT: u64 = 80;
/// Maximum number of invalid entries remembered: a writer of thousands must not exhaust the memory
/// of an instance.
const MAX_INVALID_ENTRIES: usize = 256;
/// Maximum length of a fault in the log.
const MAX_FAULT_CHARS: usize = 200;
/// Time limit for reading the configuration by its name, which an incomplete list lacks.
const CONFIGURATION_READ_TIME: Duration = Duration::from_secs(5);
/// Stack size of a feed's thread.
const STACK_BYTES: usize = 256 << 10;

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
    let mut state = State::new(&settings.zone, routing.retry_bound(), rand::random());
    state.features = routing.features;
    state.retry_share = routing.retry_share();
    if routing.first_start {
      state.streams = Streams::first_start();
    } else {
      state.streams = Streams::later_start();
    }
    let hub = Hub::new(state, edge.dialect, log)?;
    if let Some(bounds) = routing.reader_bounds() {
      hub.readers.get_or_init(|| reader::Book::new(bounds));
    }
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
    let grace = Duration::from_millis(routing.grace_ms);
    let callers = entry::bind(&hub, &settings.callers, settings.limits.requests)?;
    info!(hub.log, "started"; "callers" => %callers, "zone" => &settings.zone);
    Ok(Self {
      hub,
      callers,
      health,
      grace: grace - EXIT_RESERVE.min(grace / EXIT_RESERVE_DIVISOR),
    })
  }

  /// Applies reloaded settings. Only the retry budget can change while an instance runs.
  pub fn reload(&self, settings: Result<Settings, error_stack::Report<settings::Error>>) {
    match settings {
      Ok(settings) => {
        let bound = settings.routing.unwrap_or_default().retry_bound();
        info!(self.hub.log, "settings reloaded"; "retry_ratio" => bound.ratio,
          "retry_slack" => bound.slack, "retry_window_ms" => bound.window_ms);
        self.hub.state().retry_bound = bound;
      }
      Err(error) => {
        warn!(self.hub.log, "settings are invalid; keeping the previous ones";
          "error" => %error);
      }
    }
  }

  /// Shuts down gracefully: waits until load balancers send no new callers and the active requests
  /// have ended.
  pub fn stop(&self) {
    let started = Moment::now();
    let active = &self.hub.active;
    info!(self.hub.log, "stopping"; "active" => active.count());
    let refuse_after_ms = self.grace.saturating_sub(REFUSAL_RESERVE).as_millis() as u64;
    let exit_after = self.grace.max(BALANCER_REMOVAL);
    let end_after_ms = (exit_after - END_RESERVE).as_millis() as u64;
    let now = self.hub.now();
    let shutdown = Shutdown {
      accept_until: now + BALANCER_REMOVAL.as_millis() as u64 - REMOVAL_MARGIN_MS,
      refuse_at: now + refuse_after_ms,
      end_at: now + end_after_ms,
    };
    self.hub.stop(shutdown);
    let stopping = Event::Stopping {
      accept_until: shutdown.accept_until,
      refuse_waiting_at: shutdown.refuse_at,
      end_at: shutdown.end_at,
    };
    self.hub.apply(stopping, None);
    thread::sleep(BALANCER_REMOVAL.saturating_sub(started.elapsed()));
    while started.elapsed() < self.grace && !active.close_if_idle() {
      thread::sleep(STOP_CHECK_INTERVAL);
    }
    active.close();
    info!(self.hub.log, "stopped"; "active" => active.count(),
      "took_ms" => started.elapsed().as_millis() as u64);
  }
}

fn feed_deployments(hub: &Arc<Hub>, edge: &Arc<Edge>) -> io::Result<()> {
  let (hub, edge) = (hub.clone(), edge.clone());
  let builder = thread::Builder::new().stack_size(STACK_BYTES);
  let log = hub.log.clone();
  essential::spawn_loop(builder, "deployments", &log, move |pulse| {
    let gate = &hub.gates.deployments;
    feed::follow(
      Source {
        store: &edge.store,
        kind: edge.kinds.deployments,
        list_interval: feed::LIST_INTERVAL,
        pulse,
      },
      gate,
      &hub.log,
      |_, _| true,
      |change| {
        let objects = match change {
          feed::Event::Listed(objects) => objects,
          feed::Event::PartlyListed(objects) => with_latest(&hub, &edge, objects),
          feed::Event::Changed(objects) => objects
            .into_iter()
            .filter_map(|(object, removed)| (!removed).then_some(object))
            .collect(),
          feed::Event::Unreachable => {
            hub.measures.record_store_lost(edge.kinds.deployments);
            return false;
          }
          // The servers' feed reports the state of the store.
          feed::Event::Reachable(_) | feed::Event::Restored | feed::Event::CaughtUp => {
            return false;
          }
        };
        objects
          .iter()
          .filter(|object| deploy(&hub, &edge, object))
          .count()
          > 0
      },
    )
  })
}

/// Adds the object with the latest deployment, which an incomplete list may lack.
fn with_latest(hub: &Hub, edge: &Edge, mut objects: Vec<Object>) -> Vec<Object> {
  let kinds = &edge.kinds;
  match edge
    .store
    .read_in(CONFIGURATION_READ_TIME, kinds.deployments, kinds.deployment)
  {
    Ok(object) => objects.push(object),
    Err(error) => warn!(hub.log, "configuration could not be read"; "error" => %error),
  }
  objects
}

/// Applies the deployment in an object. Returns whether it is newer than the current one.
fn deploy(hub: &Hub, edge: &Edge, object: &Object) -> bool {
  match (edge.parse_deployment)(object) {
    Ok(Some(deployment)) => {
      let version = hub
        .state()
        .deployment
        .as_ref()
        .map(|current| current.version);
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
      warn!(hub.log, "configuration is invalid; keeping the previous one";
        "object" => &object.name, "revision" => %object.revision, "fault" => fault);
      false
    }
  }
}

fn feed_servers(hub: &Arc<Hub>, edge: &Arc<Edge>) -> io::Result<()> {
  let (hub, edge) = (hub.clone(), edge.clone());
  let builder = thread::Builder::new().stack_size(STACK_BYTES);
  let log = hub.log.clone();
  essential::spawn_loop(builder, "servers", &log, move |pulse| {
    let gate = &hub.gates.servers;
    let mut invalid_entries = InvalidEntries::default();
    let mut unlisted_reader = unlisted::Reader::default();
    let affects_others =
      |object: &Object, removed: bool| affects_others(&hub, &edge, object, removed);
    feed::follow(
      Source {
        store: &edge.store,
        kind: edge.kinds.servers,
        list_interval: feed::LIST_INTERVAL,
        pulse,
      },
      gate,
      &hub.log,
      affects_others,
      |change| {
        let mut decode = |object: &Object| match (edge.parse_server)(object) {
          Ok(spec) => Change::Set(spec),
          Err(mut fault) => {
            truncate(&mut fault);
            if invalid_entries.insert(object, &fault) {
              hub.measures.record_invalid_entry(edge.kinds.servers);
              warn!(hub.log, "server entry is invalid and is ignored"; "server" => &object.name,
              "revision" => %object.revision, "fault" => fault);
            }
            Change::Invalid(object.name.clone())
          }
        };
        let changes = match change {
          feed::Event::Listed(objects) => {
            list_changes(Change::All, objects.iter().map(decode).collect())
          }
          feed::Event::PartlyListed(mut objects) => {
            let unlisted = unlisted_names(&hub, &objects);
            let read = |name: &str| (edge.store.read)(edge.kinds.servers, name);
            let era = objects.iter().map(|object| object.revision.era).max();
            let (found, absent) = unlisted_reader.read(&unlisted, era, read);
            objects.extend(found);
            let entries = objects.iter().map(decode);
            let removed = absent.into_iter().map(Change::Removed);
            list_changes(Change::Part, entries.chain(removed).collect())
          }
          feed::Event::Changed(objects) => objects
            .iter()
            .map(|(object, removed)| match removed {
              true => Change::Removed(object.name.clone()),
              false => decode(object),
            })
            .collect(),
          feed::Event::Unreachable => {
            hub.measures.record_store_lost(edge.kinds.servers);
            hub.apply(Event::StoreLost, None);
            return false;
          }
          feed::Event::Reachable(outage) => {
            hub.apply(Event::StoreBack(outage), None);
            return false;
          }
          feed::Event::Restored => {
            hub.apply(Event::StoreRestored, None);
            return false;
          }
          feed::Event::CaughtUp => {
            hub.apply(Event::StoreCurrent, None);
            return false;
          }
        };
        let affects_others = changes
          .iter()
          .filter(|change| log_change(&hub, change))
          .count()
          > 0;
        hub.apply(Event::Servers(changes), None);
        let known: Vec<backend::Key> = hub.state().by_id.values().copied().collect();
        hub.pool.retain(|key| known.contains(&key));
        hub.paths.retain(|key| known.contains(&key));
        hub.ends.retain(|key| known.contains(&key));
        affects_others
      },
    )
  })
}

/// Whether other instances need a server's changed entry. Its holdings reach them by other means.
fn affects_others(hub: &Hub, edge: &Edge, object: &Object, removed: bool) -> bool {
  if removed {
    return true;
  }
  let state = hub.state();
  match (edge.parse_server)(object) {
    Ok(spec) => !is_known(&state, &spec),
    Err(_) => state.by_id.contains_key(&object.name),
  }
}

/// Names of the known servers that a list lacks.
fn unlisted_names(hub: &Hub, objects: &[Object]) -> BTreeSet<String> {
  let listed: HashSet<&str> = objects.iter().map(|object| object.name.as_str()).collect();
  let state = hub.state();
  let known = state.by_id.keys();
  known
    .filter(|id| !listed.contains(id.as_str()))
    .cloned()
    .collect()
}

/// Combines the changes for the entries of a list into the changes for the list.
fn list_changes(list: fn(Vec<Spec>) -> Change, entries: Vec<Change>) -> Vec<Change> {
  let mut specs = Vec::new();
  let mut changes = Vec::new();
  for entry in entries {
    match entry {
      Change::Set(spec) => specs.push(spec),
      other => changes.push(other),
    }
  }
  changes.insert(0, list(specs));
  changes
}

/// Shortens a fault, which may quote any text of another writer.
fn truncate(fault: &mut String) {
  if let Some((end, _)) = fault.char_indices().nth(MAX_FAULT_CHARS) {
    fault.truncate(end);
  }
}

/// Faults of invalid entries by name, so that each is logged once and not with every list or change.
#[derive(Default)]
struct InvalidEntries {
  faults: HashMap<String, String>,
}

impl InvalidEntries {
  /// Records an entry's fault. Returns whether it is new.
  fn insert(&mut self, object: &Object, fault: &str) -> bool {
    if self
      .faults
      .get(&object.name)
      .is_some_and(|known| known == fault)
    {
      return false;
    }
    if self.faults.len() >= MAX_INVALID_ENTRIES {
      self.faults.clear();
    }
    self.faults.insert(object.name.clone(), fault.into());
    true
  }
}

/// Logs changes of servers other than to their holdings. Returns whether there are any.
fn log_change(hub: &Hub, change: &Change) -> bool {
  let state = hub.state();
  match change {
    Change::All(specs) | Change::Part(specs) => {
      info!(hub.log, "server list read"; "count" => specs.len());
      specs.len() != state.by_id.len() || !specs.iter().all(|spec| is_known(&state, spec))
    }
    Change::Set(spec) => {
      if is_known(&state, spec) {
        return false;
      }
      info!(hub.log, "server"; "server" => &spec.id, "pool" => &spec.pool,
        "stage" => format!("{:?}", spec.stage), "address" => %spec.address, "born" => spec.born,
        "build" => %spec.build);
      true
    }
    Change::Removed(_) => true,
    Change::Invalid(id) => state.by_id.contains_key(id),
  }
}

/// Whether a server is already known with this life, build, stage and address; its holdings are ignored.
fn is_known(state: &State, spec: &Spec) -> bool {
  let Some(backend) = state.listed_backend(&spec.id) else {
    return false;
  };
  // An entry that reappears is also a change for instances that lack it.
  let known = &backend.spec;
  let same_life = known.life() == spec.life() && known.build == spec.build;
  let same = same_life && known.stage == spec.stage && known.address == spec.address;
  same && backend.missing_since.is_none()
}
