//! A platform with an object API (versions, conditional updates, watches) and an eventually
//! consistent list of machines.

use crate::http;
use bendsaddle::{fact::MachineState, ledger::Ledger, object::Kind, record::Record};
use percent_encoding::percent_decode_str;
use serde_json::{Value, json};
use std::{
  borrow::Cow,
  collections::BTreeMap,
  io,
  net::SocketAddr,
  sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
  thread,
  time::{Duration, Instant},
};
use tiny_http::{Method, Request};

/// Maximum size of a value, in bytes.
const VALUE_LIMIT: usize = 1 << 20;

/// Active faults.
#[derive(Clone, Debug, Default)]
pub struct Faults {
  /// Whether every call fails.
  pub down: bool,
  /// Delay added to every response.
  pub slow: Duration,
  /// Number of upcoming writes that take effect but whose response is dropped.
  pub lose_answers: u32,
  /// An object's kind and name, and the number of its upcoming reads whose response is dropped.
  pub lose_reads: Option<(Kind, String, u32)>,
  /// Whether reads, watches and lists of names return an old snapshot.
  pub stale: bool,
}

impl Faults {
  /// Whether the response to a read of this object is dropped. Counts down `lose_reads`.
  fn loses_read(&mut self, kind: &str, name: &str) -> bool {
    let Some((of_kind, of_name, remaining)) = &mut self.lose_reads else {
      return false;
    };
    let lost = *remaining > 0 && of_kind.as_str() == kind && of_name == name;
    *remaining -= u32::from(lost);
    lost
  }
}

/// Call counters.
#[derive(Clone, Copy, Debug, Default)]
pub struct Calls {
  pub reads: u64,
  pub writes: u64,
  pub conflicts: u64,
  pub watches: u64,
  pub limited: u64,
}

#[derive(Clone, Debug)]
struct Held {
  version: u64,
  value: Option<Value>,
}

#[derive(Clone, Debug)]
struct Machine {
  peer: Option<String>,
  state: MachineState,
  /// When the list starts to show `state` instead of `before`.
  shown_at: Instant,
  before: Option<MachineState>,
}

#[derive(Clone, Debug, Default)]
struct Objects {
  revision: u64,
  held: BTreeMap<(String, String), Held>,
}

#[derive(Debug)]
struct Inner {
  objects: Objects,
  old: Objects,
  machines: BTreeMap<String, Machine>,
  listing: u64,
  faults: Faults,
  calls: Calls,
  lag: Duration,
  /// Maximum writes and reads per second; 0 is unlimited.
  rates: (u32, u32),
  second: Instant,
  spent: (u32, u32),
  races: BTreeMap<(String, String), Value>,
}

/// A running platform.
#[derive(Clone)]
pub struct Platform {
  inner: Arc<(Mutex<Inner>, Condvar)>,
  pub address: SocketAddr,
}

impl Platform {
  /// Binds a platform whose list shows state changes of machines after `lag`.
  pub fn bind(address: &str, lag: Duration) -> io::Result<Self> {
    let inner = Inner {
      objects: Objects::default(),
      old: Objects::default(),
      machines: BTreeMap::new(),
      listing: 1,
      faults: Faults::default(),
      calls: Calls::default(),
      lag,
      rates: (0, 0),
      second: Instant::now(),
      spent: (0, 0),
      races: BTreeMap::new(),
    };
    let inner = Arc::new((Mutex::new(inner), Condvar::new()));
    let served = inner.clone();
    let address = http::bind(address, move |request| answer(&served, request))?;
    Ok(Self { inner, address })
  }

  fn lock(&self) -> MutexGuard<'_, Inner> {
    self.inner.0.lock().unwrap_or_else(PoisonError::into_inner)
  }

  /// Changes the active faults. Turning on `stale` takes the snapshot that is then served.
  pub fn fault(&self, change: impl FnOnce(&mut Faults)) {
    let mut inner = self.lock();
    let stale = inner.faults.stale;
    change(&mut inner.faults);
    if inner.faults.stale && !stale {
      inner.old = inner.objects.clone();
    }
    self.inner.1.notify_all();
  }

  /// Limits the writes and reads per second; 0 is unlimited.
  pub fn limit(&self, writes: u32, reads: u32) {
    self.lock().rates = (writes, reads);
  }

  /// Writes an object without a version check, as an operator's tool could.
  pub fn put(&self, kind: Kind, name: &str, value: Value) -> u64 {
    let mut inner = self.lock();
    let version = inner.put(kind.as_str(), name, Some(value));
    self.inner.1.notify_all();
    version
  }

  /// Deletes an object without a version check.
  pub fn delete(&self, kind: Kind, name: &str) -> u64 {
    let mut inner = self.lock();
    let version = inner.put(kind.as_str(), name, None);
    self.inner.1.notify_all();
    version
  }

  /// Writes this value just before the next write of the object, as another
  /// operator could.
  pub fn race(&self, kind: Kind, name: &str, value: Value) {
    let key = (kind.as_str().to_string(), name.to_string());
    self.lock().races.insert(key, value);
  }

  /// An object's value, or `None` if the object does not exist.
  pub fn get(&self, kind: Kind, name: &str) -> Option<Value> {
    let inner = self.lock();
    let key = (kind.as_str().to_string(), name.to_string());
    inner.objects.held.get(&key)?.value.clone()
  }

  /// A model's record, or the default if it is missing or cannot be parsed.
  pub fn record(&self, model: &str) -> Record {
    let value = self.get(Kind::ModelRecord, model);
    let record = value.and_then(|value| serde_json::from_value(value).ok());
    record.unwrap_or_default()
  }

  /// A server's record, or the default if it is missing or cannot be parsed.
  pub fn ledger(&self, server: &str) -> Ledger {
    let value = self.get(Kind::ServerRecord, server);
    let ledger = value.and_then(|value| serde_json::from_value(value).ok());
    ledger.unwrap_or_default()
  }

  /// Adds a machine to the list, or changes its state. A change is shown after the lag.
  pub fn machine(&self, id: &str, peer: Option<String>, state: MachineState) {
    let mut inner = self.lock();
    let before = inner.machines.get(id).map(|machine| machine.state);
    let lag = if before.is_some() {
      inner.lag
    } else {
      Duration::ZERO
    };
    let machine = Machine {
      peer,
      state,
      shown_at: Instant::now() + lag,
      before,
    };
    inner.machines.insert(id.into(), machine);
    inner.listing += 1;
  }

  /// The call counters.
  pub fn calls(&self) -> Calls {
    self.lock().calls
  }
}

impl Inner {
  fn put(&mut self, kind: &str, name: &str, value: Option<Value>) -> u64 {
    self.objects.revision += 1;
    let version = self.objects.revision;
    let key = (kind.to_string(), name.to_string());
    self.objects.held.insert(key, Held { version, value });
    version
  }

  fn objects(&self) -> &Objects {
    if self.faults.stale {
      &self.old
    } else {
      &self.objects
    }
  }

  fn limited(&mut self, write: bool) -> bool {
    if self.second.elapsed() >= Duration::from_secs(1) {
      self.second = Instant::now();
      self.spent = (0, 0);
    }
    let (spent, rate) = match write {
      true => (&mut self.spent.0, self.rates.0),
      false => (&mut self.spent.1, self.rates.1),
    };
    *spent += 1;
    rate > 0 && *spent > rate
  }
}

fn answer(inner: &(Mutex<Inner>, Condvar), mut request: Request) {
  let lock = || inner.0.lock().unwrap_or_else(PoisonError::into_inner);
  let write = matches!(request.method(), Method::Put | Method::Delete);
  let (faults, limited) = {
    let mut held = lock();
    (held.faults.clone(), held.limited(write))
  };
  thread::sleep(faults.slow);
  if faults.down {
    // Closes the connection without a response.
    drop(request.into_writer());
    return;
  }
  if limited {
    lock().calls.limited += 1;
    return http::json(request, 429, &json!({ "error": "rate" }));
  }
  let url = request.url().to_string();
  let path = url.split('?').next().unwrap_or_default().to_string();
  let parts = path.trim_start_matches('/').split('/');
  let parts: Vec<Cow<str>> = parts
    .map(|part| percent_decode_str(part).decode_utf8_lossy())
    .collect();
  let parts: Vec<&str> = parts.iter().map(Cow::as_ref).collect();
  match (request.method().clone(), parts.as_slice()) {
    (Method::Get, ["objects"]) => watch(inner, request, &url),
    (Method::Get, ["objects", kind, name]) => {
      let mut held = lock();
      held.calls.reads += 1;
      let key = (kind.to_string(), name.to_string());
      let found = held.objects().held.get(&key).cloned();
      let lost = held.faults.loses_read(kind, name);
      drop(held);
      if lost {
        return drop(request.into_writer());
      }
      match found {
        Some(Held {
          version,
          value: Some(value),
        }) => http::json(request, 200, &json!({ "version": version, "value": value })),
        _ => http::json(request, 404, &json!({ "error": "absent" })),
      }
    }
    (Method::Put | Method::Delete, ["objects", kind, name]) => {
      let body = http::body(&mut request);
      let (status, answer, lost) = write_object(&mut lock(), kind, name, &url, &body, &request);
      inner.1.notify_all();
      match lost {
        true => drop(request.into_writer()),
        false => http::json(request, status, &answer),
      }
    }
    (Method::Get, ["names", kind]) => {
      let mut held = lock();
      held.calls.reads += 1;
      let objects = held.objects().held.iter();
      let names: Vec<_> = objects
        .filter(|((of, _), held)| of == kind && held.value.is_some())
        .map(|((_, name), held)| json!([name, held.version]))
        .collect();
      drop(held);
      http::json(request, 200, &json!(names));
    }
    (Method::Get, ["instances"]) => {
      let body = list(&mut lock());
      http::json(request, 200, &body);
    }
    _ => http::json(request, 404, &json!({ "error": path })),
  }
}

fn write_object(
  inner: &mut Inner,
  kind: &str,
  name: &str,
  url: &str,
  body: &[u8],
  request: &Request,
) -> (u16, Value, bool) {
  inner.calls.writes += 1;
  if body.len() > VALUE_LIMIT {
    return (413, json!({ "error": "value too large" }), false);
  }
  let expected: u64 = http::param(url, "version")
    .and_then(|version| version.parse().ok())
    .unwrap_or_default();
  let key = (kind.to_string(), name.to_string());
  if let Some(value) = inner.races.remove(&key) {
    inner.put(kind, name, Some(value));
  }
  let held = inner.objects.held.get(&key);
  let version = match held {
    Some(held) if held.value.is_some() => held.version,
    _ => 0,
  };
  if version != expected {
    inner.calls.conflicts += 1;
    return (409, json!({ "version": version }), false);
  }
  let value = match request.method() {
    Method::Delete => None,
    _ => match serde_json::from_slice(body) {
      Ok(value) => Some(value),
      Err(error) => return (400, json!({ "error": error.to_string() }), false),
    },
  };
  let version = inner.put(kind, name, value);
  let lost = inner.faults.lose_answers > 0;
  inner.faults.lose_answers -= u32::from(lost);
  (200, json!({ "version": version }), lost)
}

fn list(inner: &mut Inner) -> Value {
  inner.calls.reads += 1;
  let now = Instant::now();
  let mut entries = Vec::new();
  for (id, machine) in &inner.machines {
    let state = match machine.before {
      Some(before) if machine.shown_at > now => before,
      _ => machine.state,
    };
    if state != MachineState::Gone {
      entries.push(json!({ "id": id, "peer": machine.peer, "state": state }));
    }
  }
  // The revision also increases with time, because a delayed change appears without increasing it.
  let revision = inner.listing + now.duration_since(inner.second).as_secs();
  inner.listing = revision + 1;
  json!({ "revision": inner.listing, "instances": entries })
}

fn watch(inner: &(Mutex<Inner>, Condvar), request: Request, url: &str) {
  let after: u64 = http::param(url, "after")
    .and_then(|after| after.parse().ok())
    .unwrap_or_default();
  let wait: u64 = http::param(url, "wait")
    .and_then(|wait| wait.parse().ok())
    .unwrap_or_default();
  let limit: usize = http::param(url, "limit")
    .and_then(|limit| limit.parse().ok())
    .unwrap_or(usize::MAX);
  let kinds = http::param(url, "kinds").unwrap_or_default();
  let deadline = Instant::now() + Duration::from_millis(wait);
  let mut held = inner.0.lock().unwrap_or_else(PoisonError::into_inner);
  held.calls.watches += 1;
  loop {
    if held.faults.down {
      drop(held);
      drop(request.into_writer());
      return;
    }
    let objects = held.objects();
    let changed = objects.held.iter().filter(|((kind, _), held)| {
      held.version > after && kinds.split(',').any(|wanted| wanted == kind)
    });
    let mut changed: Vec<_> = changed.collect();
    changed.sort_by_key(|(_, held)| held.version);
    let truncated = changed.len() > limit;
    changed.truncate(limit);
    let last = changed.last().map(|(_, held)| held.version);
    let revision = if truncated {
      last.unwrap_or_default()
    } else {
      objects.revision
    };
    let remaining = deadline.saturating_duration_since(Instant::now());
    if !changed.is_empty() || remaining.is_zero() || after == 0 {
      let page = changed.into_iter().map(|((kind, name), held)| {
        json!({ "kind": kind, "name": name, "version": held.version, "value": held.value })
      });
      let page: Vec<Value> = page.collect();
      let body = json!({ "revision": revision, "objects": page });
      drop(held);
      return http::json(request, 200, &body);
    }
    let waited = inner.1.wait_timeout(held, remaining);
    held = waited.unwrap_or_else(PoisonError::into_inner).0;
  }
}
