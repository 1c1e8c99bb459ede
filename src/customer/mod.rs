//! Customers, their API keys, and their quotas over the fleet.
//!
//! Load pattern: a few large customers and many small ones, each of which calls any instance. One
//! of them suddenly sends many times its usual load, and keys are revoked while requests wait.
//! Pure: no I/O, no clock. Only digests of keys are stored, so that no key can be disclosed.

mod credential;
mod digest;
mod scheduler;

pub use credential::{Rejection, authenticate};
pub use digest::Digest;
pub use scheduler::Scheduler;

use crate::quota::{self, Id, Quota};
use std::collections::{BTreeSet, HashMap};

/// Unit that a quota counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Unit {
  /// Each request costs one unit.
  #[default]
  Requests,
  /// Prompt tokens plus the maximum number of output tokens; a request that does not state them
  /// costs `default_cost`.
  Tokens { default_cost: u32 },
}

/// A customer.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
  pub name: String,
  pub keys: Vec<Digest>,
  /// Overrides the route's priority; 0 is the most urgent.
  pub priority: Option<u8>,
  pub unit: Unit,
  /// `None` if the customer has no limit.
  pub quota: Option<Quota>,
}

/// All customers of a deployment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Directory {
  customers: Vec<Customer>,
  by_id: HashMap<Id, usize>,
  by_key: HashMap<Digest, usize>,
}

impl Directory {
  /// Validates the customers and indexes them.
  ///
  /// # Errors
  ///
  /// Names the field and value that are invalid, but never a key.
  pub fn new(customers: Vec<Customer>) -> Result<Self, String> {
    let mut directory = Self::default();
    for (index, customer) in customers.iter().enumerate() {
      let name = &customer.name;
      if let Some(error) = customer.validation_error() {
        return Err(error);
      }
      if directory
        .by_id
        .insert(Id::for_customer(name), index)
        .is_some()
      {
        return Err(format!("customer: `{name}` is there twice"));
      }
      // A key that is listed twice for the same customer counts once.
      let keys: BTreeSet<Digest> = customer.keys.iter().copied().collect();
      for key in keys {
        if let Some(other) = directory.by_key.insert(key, index) {
          let other = &customers[other].name;
          return Err(format!("keys: customers `{other}` and `{name}` share one"));
        }
      }
    }
    directory.customers = customers;
    Ok(directory)
  }

  /// Looks up a customer by id.
  pub fn get(&self, id: Id) -> Option<&Customer> {
    self.by_id.get(&id).map(|index| &self.customers[*index])
  }

  /// Looks up the customer to which a key belongs.
  pub fn key_owner(&self, key: Digest) -> Option<&Customer> {
    self.by_key.get(&key).map(|index| &self.customers[*index])
  }

  /// All customers, in the order of the deployment.
  pub fn all(&self) -> &[Customer] {
    &self.customers
  }

  /// Returns whether a caller's key still belongs to its customer.
  pub fn is_key_valid(&self, caller: &Caller) -> bool {
    let owner = self.key_owner(caller.key);
    owner.is_some_and(|customer| Id::for_customer(&customer.name) == caller.customer)
  }
}

impl Customer {
  fn validation_error(&self) -> Option<String> {
    if self.name.is_empty() {
      return Some("customer: `` has no name".into());
    }
    // The name is sent in a header without escaping.
    if !self.name.bytes().all(|byte| byte.is_ascii_graphic()) {
      return Some(format!("customer: `{}` is not plain ASCII", self.name));
    }
    let quota = self.quota?;
    let fields = [("rate", quota.rate), ("burst", quota.burst)];
    let invalid = fields
      .into_iter()
      .find(|(_, value)| !value.is_finite() || *value < 0.0);
    invalid.map(|(field, value)| {
      format!(
        "{field}: `{value}` of customer `{}` is not a quota",
        self.name
      )
    })
  }
}

/// Sender of a request, and the request's cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Caller {
  pub customer: Id,
  pub key: Digest,
  pub priority: Option<u8>,
  /// In units of the customer's quota.
  pub cost: u32,
}

/// A customer's quota and its usage over the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Standing {
  pub name: String,
  pub fleet_usage: quota::Standing,
  pub quota: Option<Quota>,
}
