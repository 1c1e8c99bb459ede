//! Client of the platform's object API.
//!
//! `GET /objects/KIND/NAME` answers `{version, value}` or 404;
//! `PUT /objects/KIND/NAME?version=N` writes if the object still has version N
//! (0: absent), else 409; `GET /objects?kinds=K,K&after=REV&wait=MS&limit=N`
//! answers up to N objects changed after a revision, by version, waiting for one,
//! and the revision reached; `GET /names/KIND` answers
//! `[[name, version]]`; `GET /instances` answers the list of machines.

use crate::{
  bucket::Bucket,
  clock::Moment,
  event::Listing,
  fact::MachineState,
  object::{Kind, Name, Object},
  settings::Settings,
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

/// Largest answer read, bytes.
const ANSWER_LIMIT: u64 = 64 << 20;
/// Objects in one answer to a watch.
const PAGE: usize = 500;
/// Objects kept as a base for the next write.
const CACHED: usize = 256;
/// Longest wait for one answer.
const CALL: Duration = Duration::from_millis(1_000);
/// Pause before a failed call is made again, and its most.
const RETRY: Duration = Duration::from_millis(20);
const RETRY_MOST: Duration = Duration::from_millis(500);

/// Why a call gave nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
  /// The object has another version.
  Conflict,
  /// No answer, or not in time; a write may have taken effect.
  Unavailable,
  /// The platform declines the value.
  Declined,
}

#[derive(Deserialize)]
struct Written {
  version: u64,
}

#[derive(Deserialize)]
struct Read {
  version: u64,
  value: Box<RawValue>,
}

#[derive(Deserialize)]
struct Changed {
  kind: String,
  name: String,
  version: u64,
  value: Option<Box<RawValue>>,
}

#[derive(Deserialize)]
struct Watched {
  revision: u64,
  objects: Vec<Changed>,
}

#[derive(Deserialize)]
struct Machine {
  id: String,
  #[serde(default)]
  peer: Option<String>,
  state: MachineState,
}

#[derive(Deserialize)]
struct Machines {
  revision: u64,
  instances: Vec<Machine>,
}

/// A client with its share of the platform's call budget.
pub struct Client {
  address: String,
  agent: Agent,
  bucket: Mutex<Bucket>,
  /// Own kinds as last read or written; a base for the next write only.
  cache: Mutex<HashMap<Name, Stored>>,
  longest: Duration,
  /// Calls made.
  pub calls: AtomicU64,
  /// Calls that failed.
  pub failures: AtomicU64,
}

impl Client {
  /// A client for the platform named in the settings.
  pub fn new(settings: &Settings) -> Self {
    let config = Agent::config_builder()
      .max_redirects(0)
      .http_status_as_error(false)
      .proxy(None)
      .timeout_connect(Some(CALL))
      .build();
    Self {
      address: settings.platform.clone(),
      agent: config.new_agent(),
      bucket: Mutex::new(Bucket::new(settings.limits.platform_rate, Moment::now())),
      cache: Mutex::default(),
      longest: Duration::from_millis(settings.limits.platform_ms),
      calls: AtomicU64::new(0),
      failures: AtomicU64::new(0),
    }
  }

  /// Changes this instance's share of the call budget.
  pub fn set_rate(&self, rate: u32) {
    let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
    bucket.set_rate(rate);
  }

  /// Waits for leave to make a call; false: not before `until`.
  fn permit(&self, urgent: bool, until: Moment) -> bool {
    loop {
      let now = Moment::now();
      let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
      let wait = match bucket.acquire(urgent, now) {
        Ok(()) => return true,
        Err(wait) => wait,
      };
      drop(bucket);
      if now + wait > until {
        return false;
      }
      std::thread::sleep(wait);
    }
  }

  fn answer<T: DeserializeOwned>(
    &self,
    result: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
  ) -> Result<(u16, Option<T>), Error> {
    self.calls.fetch_add(1, Ordering::Relaxed);
    let read = |mut response: ureq::http::Response<ureq::Body>| {
      let status = response.status().as_u16();
      let body = response.body_mut().with_config().limit(ANSWER_LIMIT);
      let text = body.read_to_string().ok()?;
      Some((status, serde_json::from_str(&text).ok()))
    };
    let answer = result.ok().and_then(read);
    if answer.as_ref().is_none_or(|(status, _)| *status >= 500) {
      self.failures.fetch_add(1, Ordering::Relaxed);
    }
    answer.ok_or(Error::Unavailable)
  }

  fn get<T: DeserializeOwned>(&self, path: &str, wait: Duration) -> Result<Option<T>, Error> {
    let request = self.agent.get(format!("http://{}{path}", self.address));
    let request = request.config().timeout_global(Some(wait)).build();
    match self.answer(request.call())? {
      (200, Some(value)) => Ok(Some(value)),
      (404, _) => Ok(None),
      _ => Err(Error::Unavailable),
    }
  }

  /// Reads an object; version 0 when absent.
  pub fn read(&self, name: &Name) -> Result<Object, Error> {
    let found: Option<Read> = self.get(&format!("/objects/{name}"), CALL)?;
    Ok(match found {
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

  /// Writes an object that still has `version`; answers the new version.
  pub fn write(&self, name: &Name, version: u64, value: &str) -> Result<u64, Error> {
    let url = format!("http://{}/objects/{name}?version={version}", self.address);
    let request = self.agent.put(url);
    let request = request.config().timeout_global(Some(CALL)).build();
    match self.answer::<Written>(request.send(value))? {
      (200, Some(written)) => Ok(written.version),
      (409, _) => Err(Error::Conflict),
      (400 | 413, _) => Err(Error::Declined),
      _ => Err(Error::Unavailable),
    }
  }

  /// Removes an object that still has `version`.
  pub fn remove(&self, name: &Name, version: u64) -> Result<u64, Error> {
    let url = format!("http://{}/objects/{name}?version={version}", self.address);
    let request = self.agent.delete(url);
    let request = request.config().timeout_global(Some(CALL)).build();
    match self.answer::<Written>(request.call())? {
      (200, Some(written)) => Ok(written.version),
      (409, _) => Err(Error::Conflict),
      _ => Err(Error::Unavailable),
    }
  }

  /// Configuration changed after revision `after`, with the revision reached.
  pub fn watch(&self, after: u64, wait: Duration) -> Result<(u64, Vec<Object>), Error> {
    let until = Moment::now() + CALL;
    if !self.permit(false, until) {
      return Err(Error::Unavailable);
    }
    let kinds = Kind::CONFIGURED.map(Kind::as_str).join(",");
    let wait_ms = wait.as_millis();
    let path = format!("/objects?kinds={kinds}&after={after}&wait={wait_ms}&limit={PAGE}");
    let watched: Option<Watched> = self.get(&path, wait + CALL)?;
    let watched = watched.ok_or(Error::Unavailable)?;
    let objects = watched.objects.into_iter().filter_map(object).collect();
    Ok((watched.revision, objects))
  }

  /// The platform's list of machines.
  pub fn list(&self) -> Result<(u64, Vec<Listing>), Error> {
    if !self.permit(false, Moment::now() + CALL) {
      return Err(Error::Unavailable);
    }
    let machines: Option<Machines> = self.get("/instances", CALL)?;
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
    if !self.permit(false, Moment::now() + CALL) {
      return Err(Error::Unavailable);
    }
    let names = self.get(&format!("/names/{}", kind.as_str()), CALL)?;
    names.ok_or(Error::Unavailable)
  }

  /// Reads an object of the system's own kinds, or changes it by conditional
  /// update. A lost answer is resolved by reading back: changes are idempotent,
  /// so one that took effect already counts as applied.
  pub fn update(&self, name: &Name, change: Option<&Change>, urgent: bool) -> Outcome {
    let until = Moment::now() + self.longest;
    let mut failures = 0;
    let mut base = change.and_then(|_| self.cached(name));
    loop {
      if !self.permit(urgent, until) {
        return Outcome::Unavailable;
      }
      let step = match base.take() {
        Some(stored) => self.change(name, stored, change, true),
        None => self
          .load(name)
          .and_then(|stored| self.change(name, stored, change, false)),
      };
      match step {
        Ok(Some(outcome)) => return outcome,
        Ok(None) => {}
        Err(Error::Conflict) => {}
        Err(Error::Declined) => return Outcome::Unavailable,
        Err(Error::Unavailable) => failures += 1,
      }
      let most = RETRY_MOST.min(RETRY * (1 << failures.min(5)));
      let wait = most.mul_f64(rand::random_range(0.5..1.0));
      if Moment::now() + wait > until {
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

  fn keep(&self, name: &Name, stored: &Stored) {
    let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
    if cache.len() >= CACHED {
      cache.clear();
    }
    cache.insert(name.clone(), stored.clone());
  }

  fn load(&self, name: &Name) -> Result<Stored, Error> {
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

  /// Applies the change to a base. `None`: a cached base says nothing would
  /// change, which only a fresh read may confirm.
  fn change(
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
      Err(why) => Ok(Some(Outcome::Rejected(why, stored))),
      Ok(false) => Ok(Some(Outcome::Applied(stored))),
      Ok(true) => {
        let text = serde_json::to_string(&stored.value).map_err(|_| Error::Declined)?;
        stored.version = self.write(name, stored.version, &text)?;
        self.keep(name, &stored);
        Ok(Some(Outcome::Applied(stored)))
      }
    }
  }
}

fn object(changed: Changed) -> Option<Object> {
  Some(Object {
    name: Name::new(Kind::parse(&changed.kind)?, changed.name),
    version: changed.version,
    value: changed.value.map(|value| value.get().to_string()),
  })
}
