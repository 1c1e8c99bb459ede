//! The configuration in force: objects that operators edit, checked.

use crate::{
  object::{Kind, Name},
  policy::Policy,
  selector::Labels,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::{
  collections::{BTreeMap, HashSet},
  sync::Arc,
};

/// A model, or an adapter when it names a base.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct Model {
  #[serde(default)]
  pub labels: Arc<Labels>,
  /// Memory of one replica on a backend server, in MB.
  pub memory_mb: u64,
  /// The model this adapter extends.
  #[serde(default)]
  pub base: Option<String>,
}

/// A backend server with a model engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct Server {
  #[serde(default)]
  pub labels: Labels,
  /// Address of the engine, `ip:port`.
  pub address: String,
  pub zone: String,
  pub memory_mb: u64,
  /// Requests one replica runs at once.
  pub slots: u32,
  /// Whether the engine refuses an order with an old fencing number.
  pub fencing: bool,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct Service {
  #[serde(default)]
  pub labels: Labels,
  /// Addresses of its runners, `ip:port`.
  pub addresses: Vec<String>,
  /// Paths whose calls may be repeated; all other calls run at most once.
  #[serde(default)]
  pub repeatable: Vec<String>,
}

/// Checked configuration by name.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
  pub models: BTreeMap<String, Model>,
  pub servers: BTreeMap<String, Server>,
  pub services: BTreeMap<String, Service>,
  pub policies: BTreeMap<String, Policy>,
  /// Labels of models, each once.
  labels: HashSet<Arc<Labels>>,
}

/// Name of the built-in policy of models that no policy object selects.
pub const DEFAULT_POLICY: &str = "default";

fn decode<T: DeserializeOwned>(name: &Name, text: &str) -> Result<T, String> {
  serde_json::from_str(text).map_err(|error| format!("{name}: {error}"))
}

fn address(name: &Name, field: &str, value: &str) -> Result<(), String> {
  value
    .parse::<std::net::SocketAddr>()
    .map(|_| ())
    .map_err(|_| format!("{name}: {field}: `{value}` is not ip:port"))
}

fn positive(name: &Name, field: &str, value: u64) -> Result<(), String> {
  if value == 0 {
    return Err(format!("{name}: {field}: `0` is not positive"));
  }
  Ok(())
}

impl Catalog {
  /// Checks one object by itself.
  pub fn check(name: &Name, value: Option<&str>) -> Result<(), String> {
    Self::default().put(name, value)
  }

  /// Puts one object in force; an object that fails its check changes nothing.
  pub fn put(&mut self, name: &Name, value: Option<&str>) -> Result<(), String> {
    match value {
      None => self.remove(name),
      Some(text) => return self.insert(name, text),
    }
    Ok(())
  }

  fn remove(&mut self, name: &Name) {
    match name.kind {
      Kind::Model => drop(self.models.remove(&name.name)),
      Kind::Server => drop(self.servers.remove(&name.name)),
      Kind::Service => drop(self.services.remove(&name.name)),
      Kind::Policy => drop(self.policies.remove(&name.name)),
      _ => {}
    }
  }

  fn insert(&mut self, name: &Name, text: &str) -> Result<(), String> {
    let key = name.name.clone();
    match name.kind {
      Kind::Model => {
        let mut model: Model = decode(name, text)?;
        positive(name, "memoryMb", model.memory_mb)?;
        model.labels = self.shared(model.labels);
        self.models.insert(key, model);
      }
      Kind::Server => {
        let server: Server = decode(name, text)?;
        address(name, "address", &server.address)?;
        positive(name, "memoryMb", server.memory_mb)?;
        positive(name, "slots", server.slots.into())?;
        self.servers.insert(key, server);
      }
      Kind::Service => {
        let service: Service = decode(name, text)?;
        for value in &service.addresses {
          address(name, "addresses", value)?;
        }
        self.services.insert(key, service);
      }
      Kind::Policy => {
        let policy: Policy = decode(name, text)?;
        if let Some(fault) = policy.validation_error() {
          return Err(format!("{name}: {fault}"));
        }
        self.policies.insert(key, policy);
      }
      _ => {
        return Err(format!(
          "{name}: kind `{}` is not configuration",
          name.kind.as_str()
        ));
      }
    }
    Ok(())
  }

  /// The one copy of these labels: many models carry the same.
  fn shared(&mut self, labels: Arc<Labels>) -> Arc<Labels> {
    if let Some(held) = self.labels.get(&labels) {
      return held.clone();
    }
    self.labels.insert(labels.clone());
    labels
  }

  /// Number of objects in force.
  pub fn len(&self) -> usize {
    self.models.len() + self.servers.len() + self.services.len() + self.policies.len()
  }

  /// Whether nothing is in force.
  pub fn is_empty(&self) -> bool {
    self.len() == 0
  }

  /// Faults between objects: an adapter without its base.
  pub fn dangling(&self) -> Vec<String> {
    let missing = |model: &&Model| {
      let base = model.base.as_ref();
      base.is_some_and(|base| !self.models.contains_key(base))
    };
    self
      .models
      .iter()
      .filter(|(_, model)| missing(model))
      .map(|(name, model)| {
        let base = model.base.as_deref().unwrap_or_default();
        format!("model/{name}: base: `{base}` is not a model")
      })
      .collect()
  }

  /// The policy that rules `model` for requests of `caller`: highest precedence,
  /// then smallest name.
  pub fn policy(&self, model: &Model, caller: u64) -> Option<(&str, &Policy)> {
    self
      .policies
      .iter()
      .filter(|(_, policy)| policy.models.matches(&model.labels) && policy.includes_caller(caller))
      .max_by_key(|(name, policy)| (policy.precedence, std::cmp::Reverse(*name)))
      .map(|(name, policy)| (name.as_str(), policy))
  }
}
