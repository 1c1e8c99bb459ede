//! State of an instance, as shown to operators.

use crate::{
  fact::{Body, Health, Key, MachineState},
  object::Name,
  replica::Target,
  state::State,
};
use serde::{Deserialize, Serialize};

/// A replica, as known to the instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Replica {
  pub id: String,
  pub model: String,
  pub server: String,
  pub policy: String,
  pub target: Target,
  pub ready: bool,
}

/// The policy that applies to a model, and why.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EffectivePolicy {
  pub model: String,
  pub policy: String,
  pub why: String,
}

/// A configuration object in force.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq, Eq)]
pub struct Configured {
  pub object: String,
  pub version: u64,
}

/// A configuration object that was rejected.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Rejected {
  pub object: String,
  pub version: u64,
  pub why: String,
}

/// Another instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Member {
  pub instance: String,
  pub operators: String,
  pub zone: String,
  pub health: Health,
  pub leaving: bool,
}

/// State of one instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
  pub instance: String,
  /// Whether the instance accepts new requests.
  pub serving: bool,
  pub members: Vec<Member>,
  /// Number of configuration objects in force.
  pub configured: usize,
  pub rejected: Vec<Rejected>,
  pub replicas: Vec<Replica>,
  pub leaving: Vec<String>,
  /// Number of requests between arrival and final response.
  pub requests: usize,
  /// Number of requests waiting for a replica.
  pub waiting: usize,
  pub jobs: usize,
  pub owned: usize,
  pub facts: usize,
  pub watching: bool,
  /// Bytes and messages exchanged with other instances since the start.
  #[serde(default)]
  pub peer_bytes: u64,
  #[serde(default)]
  pub peer_messages: u64,
}

impl Status {
  /// Summarizes the state.
  pub fn new(state: &State) -> Self {
    let groups = state.groups.values();
    Self {
      instance: state.me.instance.clone(),
      serving: state.configured && !state.stopping,
      members: members(state),
      configured: state.catalog.len(),
      rejected: rejected(state),
      replicas: replicas(state),
      leaving: leaving(state),
      requests: state.requests.len(),
      waiting: groups.map(|group| group.queue.len()).sum(),
      jobs: state.jobs.len(),
      owned: state.owned.len(),
      facts: state.facts.len(),
      watching: state.watching,
      peer_bytes: 0,
      peer_messages: 0,
    }
  }
}

/// The configuration in force at one instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Configuration {
  pub configured: Vec<Configured>,
  pub dangling: Vec<String>,
  pub rulings: Vec<EffectivePolicy>,
}

impl Configuration {
  /// The configuration in force in `state`.
  pub fn new(state: &State) -> Self {
    Self {
      configured: configured(state),
      dangling: state.catalog.dangling(),
      rulings: effective_policies(state),
    }
  }
}

fn members(state: &State) -> Vec<Member> {
  let facts = state.facts.iter();
  let members = facts.filter_map(|(key, _, body)| match (key, body) {
    (Key::Member(id), Body::Member(member)) => Some(Member {
      instance: id.clone(),
      operators: member.operators.clone(),
      zone: member.zone.clone(),
      health: member.health,
      leaving: member.leaving,
    }),
    _ => None,
  });
  members.collect()
}

fn configured(state: &State) -> Vec<Configured> {
  let facts = state.facts.iter();
  let objects = facts.filter_map(|(key, version, body)| match (key, body) {
    (Key::Object(name), Body::Object(Some(_))) => Some(Configured {
      object: name.to_string(),
      version: version.0,
    }),
    _ => None,
  });
  objects.collect()
}

fn rejected(state: &State) -> Vec<Rejected> {
  let newer = |name: &Name, version: u64| {
    let object = state.facts.version(&Key::Object(name.clone()));
    version > object.0
  };
  let facts = state.facts.iter();
  let rejected = facts.filter_map(|(key, version, body)| match (key, body) {
    (Key::Rejected(name), Body::Rejected(why)) if newer(name, version.0) => Some(Rejected {
      object: name.to_string(),
      version: version.0,
      why: why.clone(),
    }),
    _ => None,
  });
  rejected.collect()
}

fn replicas(state: &State) -> Vec<Replica> {
  let mut replicas = Vec::new();
  for (key, _, body) in state.facts.iter() {
    let (Key::Placement(model), Body::Placement(placed)) = (key, body) else {
      continue;
    };
    replicas.extend(placed.iter().map(|replica| {
      let server = state.server_keys.get(&replica.server);
      Replica {
        id: replica.id.to_string(),
        model: model.clone(),
        server: replica.server.clone(),
        policy: replica.policy.clone(),
        target: replica.target,
        ready: server.is_some_and(|server| state.servers[*server].ready(replica.id)),
      }
    }));
  }
  replicas
}

fn effective_policies(state: &State) -> Vec<EffectivePolicy> {
  let models = state.catalog.models.iter();
  let policies = models.map(|(name, model)| {
    let matching: Vec<String> = state
      .catalog
      .policies
      .iter()
      .filter(|(_, policy)| policy.models.matches(&model.labels))
      .map(|(name, policy)| match policy.slice {
        Some(slice) => format!(
          "{name} (precedence {}, callers {}..{}%)",
          policy.precedence, slice.from, slice.to
        ),
        None => format!("{name} (precedence {})", policy.precedence),
      })
      .collect();
    let why = match matching.is_empty() {
      true => "no policy selects it".to_string(),
      false => format!("selected by {}", matching.join(", ")),
    };
    EffectivePolicy {
      model: name.clone(),
      policy: state.effective_policy(model, 0),
      why,
    }
  });
  policies.collect()
}

fn leaving(state: &State) -> Vec<String> {
  let facts = state.facts.iter();
  let leaving = facts.filter_map(|(key, _, body)| match (key, body) {
    (Key::Listing(id), Body::Listing(MachineState::Leaving)) => Some(id.clone()),
    _ => None,
  });
  leaving.collect()
}
