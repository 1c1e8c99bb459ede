//! Client of the platform's object API.
//!
//! - `GET /objects/KIND/NAME` returns `{version, value}` or 404.
//! - `PUT /objects/KIND/NAME?version=N` writes the object if it still has version N (0 if
//!   it is absent), and returns 409 otherwise.
//! - `GET /objects?kinds=K,K&after=REV&wait=MS&limit=N` waits for a change and returns up
//!   to N objects that changed after a revision, ordered by version, and the revision
//!   reached.
//! - `GET /names/KIND` returns `[[name, version]]`.
//! - `GET /instances` returns the list of machines.

use crate::{
  bucket::Bucket,
  clock::Moment,
  event::Listing,
  fact::MachineState,
  object::{Kind, Name, Object},
  settings::Settings,
  target,
  update::{Change, Outcome, Stored, Value},
};
use serde::{Deserialize, de::DeserializeOwned};
use serde_json::value::RawValue;
use std::{
  collections::HashMap,
  sync::{
    Mutex, PoisonError,
    atomic::{AtomicU64, Ordering},
  },
  time::Duration,
};
use ureq::Agent;

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;
/// Maximum number of objects in one response to a watch.
const WATCH_PAGE_SIZE: usize = 500;
/// Maximum number of objects cached as a base for the next write.
const MAX_CACHED_OBJECTS: usize = 256;
/// Timeout of one call; a watch may take this much longer than its wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Initial and maximum delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(20);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
  /// The object has a different version.
  Conflict,
  /// No valid response arrived in time; a write may have taken effect.
  Unavailable,
  /// The platform refused the value.
  Declined,
}

#[derive(Deserialize)]
struct WriteResponse {
  version: u64,
}

#[derive(Deserialize)]
struct ReadResponse {
  version: u64,
  value: Box<RawValue>,
}

#[derive(Deserialize)]
struct ChangedObject {
  kind: String,
  name: String,
  version: u64,
  value: Option<Box<RawValue>>,
}

#[derive(Deserialize)]
struct WatchResponse {
  revision: u64,
  objects: Vec<ChangedObject>,
}

#[derive(Deserialize)]
struct Machine {
  id: String,
  #[serde(default)]
  peer: Option<String>,
  state: MachineState,
}

#[derive(Deserialize)]
struct MachineList {
  revision: u64,
  instances: Vec<Machine>,
}

/// A client that limits its calls to its share of the platform's call budget.
pub struct Client {
  address: String,
  agent: Agent,
  bucket: Mutex<Bucket>,
  /// Objects of the system's own kinds as last written, used only as a base for the next
  /// write.
  cache: Mutex<HashMap<Name, Stored>>,
  /// Time after which `update` starts no further attempt.
  update_timeout: Duration,
  /// Number of calls.
  pub calls: AtomicU64,
  /// Number of calls without a response or with a server error.
  pub failures: AtomicU64,
}

impl Client {
  /// Creates a client for the platform in the settings.
  pub fn new(settings: &Settings) -> Self {
    let config = Agent::config_builder()
      .max_redirects(0)
      .http_status_as_error(false)
      .proxy(None)
      .timeout_connect(Some(CALL_TIMEOUT))
      .build();
    Self {
      address: settings.platform.clone(),
      agent: config.new_agent(),
      bucket: Mutex::new(Bucket::new(settings.limits.platform_rate, Moment::now())),
      cache: Mutex::default(),
      update_timeout: Duration::from_millis(settings.limits.platform_ms),
      calls: AtomicU64::new(0),
      failures: AtomicU64::new(0),
    }
  }

  /// Changes this instance's share of the call budget.
  pub fn set_rate(&self, rate: u32) {
    let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
    bucket.set_rate(rate);
  }

  /// Waits until the rate limit permits a call; returns false if that would be after
  /// `deadline`.
  fn acquire_permit(&self, urgent: bool, deadline: Moment) -> bool {
    loop {
      let now = Moment::now();
      let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
      let wait = match bucket.acquire(urgent, now) {
        Ok(()) => return true,
        Err(wait) => wait,
      };
      drop(bucket);
      if now + wait > deadline {
        return false;
      }
      std::thread::sleep(wait);
    }
  }

  fn read_response<T: DeserializeOwned>(
    &self,
    result: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
  ) -> Result<(u16, Option<T>), Error> {
    self.calls.fetch_add(1, Ordering::Relaxed);
    let read = |mut response: ureq::http::Response<ureq::Body>| {
      let status = response.status().as_u16();
      let body = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES);
      let text = body.read_to_string().ok()?;
      Some((status, serde_json::from_str(&text).ok()))
    };
    let response = result.ok().and_then(read);
    if response.as_ref().is_none_or(|(status, _)| *status >= 500) {
      self.failures.fetch_add(1, Ordering::Relaxed);
    }
    response.ok_or(Error::Unavailable)
  }

  fn get<T: DeserializeOwned>(&self, path: &str, wait: Duration) -> Result<Option<T>, Error> {
    let request = self.agent.get(format!("http://{}{path}", self.address));
    let request = request.config().timeout_global(Some(wait)).build();
    match self.read_response(request.call())? {
      (200, Some(value)) => Ok(Some(value)),
      (404, _) => Ok(None),
      _ => Err(Error::Unavailable),
    }
  }

  /// Reads an object; its version is 0 if it is absent.
  pub fn read(&self, name: &Name) -> Result<Object, Error> {
    let response: Option<ReadResponse> = self.get(&target(name, &[]), CALL_TIMEOUT)?;
    Ok(match response {
      Some(read) => Object {
        name: name.clone(),
        version: read.version,
        value: Some(read.value.get().to_string()),
      },
      None => Object {
        name: name.clone(),
        version: 0,
        value: None,
      },
    })
  }

  /// Writes an object if it still has `version`, and returns the new version.
  pub fn write(&self, name: &Name, version: u64, value: &str) -> Result<u64, Error> {
    let target = target(name, &[("version", &version.to_string())]);
    let url = format!("http://{}{target}", self.address);
    let request = self.agent.put(url);
    let request = request.config().timeout_global(Some(CALL_TIMEOUT)).build();
    match self.read_response::<WriteResponse>(request.send(value))? {
      (200, Some(written)) => Ok(written.version),
      (409, _) => Err(Error::Conflict),
      (400 | 413, _) => Err(Error::Declined),
      _ => Err(Error::Unavailable),
    }
  }

  /// Removes an object if it still has `version`, and returns the new version.
  pub fn remove(&self, name: &Name, version: u64) -> Result<u64, Error> {
    let target = target(name, &[("version", &version.to_string())]);
    let url = format!("http://{}{target}", self.address);
    let request = self.agent.delete(url);
    let request = request.config().timeout_global(Some(CALL_TIMEOUT)).build();
    match self.read_response::<WriteResponse>(request.call())? {
      (200, Some(written)) => Ok(written.version),
      (409, _) => Err(Error::Conflict),
      _ => Err(Error::Unavailable),
    }
  }

  /// Waits up to `wait` for configuration that changed after revision `after`, and returns
  /// it with the revision reached.
  pub fn watch(&self, after: u64, wait: Duration) -> Result<(u64, Vec<Object>), Error> {
    let deadline = Moment::now() + CALL_TIMEOUT;
    if !self.acquire_permit(false, deadline) {
      return Err(Error::Unavailable);
    }
    let kinds = Kind::CONFIGURED.map(Kind::as_str).join(",");
    let wait_ms = wait.as_millis();
    let path =
      format!("/objects?kinds={kinds}&after={after}&wait={wait_ms}&limit={WATCH_PAGE_SIZE}");
    let response: Option<WatchResponse> = self.get(&path, wait + CALL_TIMEOUT)?;
    let response = response.ok_or(Error::Unavailable)?;
    let objects = response
      .objects
      .into_iter()
      .filter_map(decode_object)
      .collect();
    Ok((response.revision, objects))
  }

  /// The platform's list of machines.
  pub fn list(&self) -> Result<(u64, Vec<Listing>), Error> {
    if !self.acquire_permit(false, Moment::now() + CALL_TIMEOUT) {
      return Err(Error::Unavailable);
    }
    let machines: Option<MachineList> = self.get("/instances", CALL_TIMEOUT)?;
    let machines = machines.ok_or(Error::Unavailable)?;
    let entries = machines.instances.into_iter().map(|machine| Listing {
      id: machine.id,
      peer: machine.peer,
      state: machine.state,
    });
    Ok((machines.revision, entries.collect()))
  }

  /// Names and versions of the objects of a kind.
  pub fn names(&self, kind: Kind) -> Result<Vec<(String, u64)>, Error> {
    if !self.acquire_permit(false, Moment::now() + CALL_TIMEOUT) {
      return Err(Error::Unavailable);
    }
    let names = self.get(&format!("/names/{}", kind.as_str()), CALL_TIMEOUT)?;
    names.ok_or(Error::Unavailable)
  }

  /// Reads an object of the system's own kinds, or changes it by conditional update. After
  /// a lost response the object is read again: changes are idempotent, so a change that
  /// already took effect counts as applied.
  pub fn update(&self, name: &Name, change: Option<&Change>, urgent: bool) -> Outcome {
    let deadline = Moment::now() + self.update_timeout;
    let mut failures = 0;
    let mut base = change.and_then(|_| self.cached(name));
    loop {
      if !self.acquire_permit(urgent, deadline) {
        return Outcome::Unavailable;
      }
      let result = match base.take() {
        Some(stored) => self.apply_change(name, stored, change, true),
        None => self
          .read_stored(name)
          .and_then(|stored| self.apply_change(name, stored, change, false)),
      };
      match result {
        Ok(Some(outcome)) => return outcome,
        Ok(None) => {}
        Err(Error::Conflict) => {}
        Err(Error::Declined) => return Outcome::Unavailable,
        Err(Error::Unavailable) => failures += 1,
      }
      let max_delay = MAX_RETRY_DELAY.min(RETRY_DELAY * (1 << failures.min(5)));
      let wait = max_delay.mul_f64(rand::random_range(0.5..1.0));
      if Moment::now() + wait > deadline {
        return Outcome::Unavailable;
      }
      if failures > 0 {
        std::thread::sleep(wait);
      }
    }
  }

  fn cached(&self, name: &Name) -> Option<Stored> {
    let cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
    cache.get(name).cloned()
  }

  fn cache_object(&self, name: &Name, stored: &Stored) {
    let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
    if cache.len() >= MAX_CACHED_OBJECTS {
      cache.clear();
    }
    cache.insert(name.clone(), stored.clone());
  }

  fn read_stored(&self, name: &Name) -> Result<Stored, Error> {
    let object = self.read(name)?;
    let value = match &object.value {
      Some(text) => Value::decode(name.kind, text).ok(),
      None => Value::absent(name.kind),
    };
    Ok(Stored {
      version: object.version,
      value: value.ok_or(Error::Declined)?,
    })
  }

  /// Applies the change to a base object. Returns `None` if a cached base would not change
  /// or rejects the change, which only a new read may confirm.
  fn apply_change(
    &self,
    name: &Name,
    mut stored: Stored,
    change: Option<&Change>,
    cached: bool,
  ) -> Result<Option<Outcome>, Error> {
    let Some(change) = change else {
      return Ok(Some(Outcome::Applied(stored)));
    };
    match stored.value.apply(change) {
      Ok(false) | Err(_) if cached => Ok(None),
      Err(rejection) => Ok(Some(Outcome::Rejected(rejection, stored))),
      Ok(false) => Ok(Some(Outcome::Applied(stored))),
      Ok(true) => {
        let text = serde_json::to_string(&stored.value).map_err(|_| Error::Declined)?;
        stored.version = self.write(name, stored.version, &text)?;
        self.cache_object(name, &stored);
        Ok(Some(Outcome::Applied(stored)))
      }
    }
  }
}

/// The target of a call for an object.
fn target(name: &Name, query: &[(&str, &str)]) -> String {
  target::encode(&["objects", name.kind.as_str(), &name.name], query)
}

fn decode_object(changed: ChangedObject) -> Option<Object> {
  Some(Object {
    name: Name::new(Kind::parse(&changed.kind)?, changed.name),
    version: changed.version,
    value: changed.value.map(|value| value.get().to_string()),
  })
}
