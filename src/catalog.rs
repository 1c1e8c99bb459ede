//! The active configuration: validated objects that operators edit.

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

/// A model, or an adapter if `base` is set.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct Model {
  #[serde(default)]
  pub labels: Arc<Labels>,
  /// Memory in MB of one replica on a backend server.
  pub memory_mb: u64,
  /// The model that this adapter extends.
  #[serde(default)]
  pub base: Option<String>,
}

/// A backend server with a model engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct Server {
  #[serde(default)]
  pub labels: Labels,
  /// Address of the engine, as `ip:port`.
  pub address: String,
  pub zone: String,
  pub memory_mb: u64,
  /// Number of requests that one replica runs concurrently.
  pub slots: u32,
  /// Whether the engine refuses orders with an old fencing token.
  pub fencing: bool,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct Service {
  #[serde(default)]
  pub labels: Labels,
  /// Addresses of the servers that run the service, as `ip:port`.
  pub addresses: Vec<String>,
  /// Paths whose calls may be repeated; all other calls run at most once.
  #[serde(default)]
  pub repeatable: Vec<String>,
}

/// Validated configuration objects, by name.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
  pub models: BTreeMap<String, Model>,
  pub servers: BTreeMap<String, Server>,
  pub services: BTreeMap<String, Service>,
  pub policies: BTreeMap<String, Policy>,
  /// Distinct label sets of models.
  labels: HashSet<Arc<Labels>>,
}

/// Name of the built-in policy for models that no policy object selects.
pub const DEFAULT_POLICY: &str = "default";

fn decode<T: DeserializeOwned>(name: &Name, text: &str) -> Result<T, String> {
  serde_json::from_str(text).map_err(|error| format!("{name}: {error}"))
}

fn check_address(name: &Name, field: &str, value: &str) -> Result<(), String> {
  value
    .parse::<std::net::SocketAddr>()
    .map(|_| ())
    .map_err(|_| format!("{name}: {field}: `{value}` is not ip:port"))
}

fn check_positive(name: &Name, field: &str, value: u64) -> Result<(), String> {
  if value == 0 {
    return Err(format!("{name}: {field}: `0` is not positive"));
  }
  Ok(())
}

impl Catalog {
  /// Validates one object on its own.
  pub fn check(name: &Name, value: Option<&str>) -> Result<(), String> {
    Self::default().put(name, value)
  }

  /// Applies one object, or removes it if `value` is `None`. An invalid object changes
  /// nothing.
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
        check_positive(name, "memoryMb", model.memory_mb)?;
        model.labels = self.intern_labels(model.labels);
        self.models.insert(key, model);
      }
      Kind::Server => {
        let server: Server = decode(name, text)?;
        check_address(name, "address", &server.address)?;
        check_positive(name, "memoryMb", server.memory_mb)?;
        check_positive(name, "slots", server.slots.into())?;
        self.servers.insert(key, server);
      }
      Kind::Service => {
        let service: Service = decode(name, text)?;
        for value in &service.addresses {
          check_address(name, "addresses", value)?;
        }
        self.services.insert(key, service);
      }
      Kind::Policy => {
        let policy: Policy = decode(name, text)?;
        if let Some(error) = policy.validation_error() {
          return Err(format!("{name}: {error}"));
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

  /// Returns a shared copy of the labels, since many models have the same labels.
  fn intern_labels(&mut self, labels: Arc<Labels>) -> Arc<Labels> {
    if let Some(existing) = self.labels.get(&labels) {
      return existing.clone();
    }
    self.labels.insert(labels.clone());
    labels
  }

  /// Number of active objects.
  pub fn len(&self) -> usize {
    self.models.len() + self.servers.len() + self.services.len() + self.policies.len()
  }

  /// Whether no object is active.
  pub fn is_empty(&self) -> bool {
    self.len() == 0
  }

  /// Errors of references between objects, for adapters whose base does not exist.
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

  /// Name and policy that apply to `model` for requests of `caller`: the highest
  /// precedence, then the smallest name.
  pub fn policy(&self, model: &Model, caller: u64) -> Option<(&str, &Policy)> {
    self
      .policies
      .iter()
      .filter(|(_, policy)| policy.models.matches(&model.labels) && policy.includes_caller(caller))
      .max_by_key(|(name, policy)| (policy.precedence, std::cmp::Reverse(*name)))
      .map(|(name, policy)| (name.as_str(), policy))
  }
}
