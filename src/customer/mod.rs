//! Customers: who may call, with which keys, and how much of the fleet they may use.
//!
//! Load pattern: a few large customers and many small ones, each at any instance; one of them
//! asks for many times its usual at once, and keys are taken away while requests wait. Pure:
//! no I/O, no clock. A key is known by its digest alone; nothing here could show one.

mod credential;
mod digest;
mod scheduler;

pub use credential::{Rejection, authenticate};
pub use digest::Digest;
pub use scheduler::Scheduler;

use crate::quota::{self, Id, Quota};
use std::collections::{BTreeSet, HashMap};

/// What a quota counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Unit {
  /// Each request is one.
  #[default]
  Requests,
  /// Tokens of the prompt and the most that come out; this many where a request names none.
  Tokens { default_cost: u32 },
}

/// A customer.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
  pub name: String,
  pub keys: Vec<Digest>,
  /// Takes the place of the route's; 0 is the most urgent.
  pub priority: Option<u8>,
  pub unit: Unit,
  /// None: no limit.
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
  /// The customers, checked; an error names field and value, and no key.
  pub fn new(customers: Vec<Customer>) -> Result<Self, String> {
    let mut book = Self::default();
    for (index, customer) in customers.iter().enumerate() {
      let name = &customer.name;
      if let Some(fault) = customer.fault() {
        return Err(fault);
      }
      if book.by_id.insert(Id::for_customer(name), index).is_some() {
        return Err(format!("customer: `{name}` is there twice"));
      }
      // Twice in one customer is one key.
      let keys: BTreeSet<Digest> = customer.keys.iter().copied().collect();
      for key in keys {
        if let Some(other) = book.by_key.insert(key, index) {
          let other = &customers[other].name;
          return Err(format!("keys: customers `{other}` and `{name}` share one"));
        }
      }
    }
    book.customers = customers;
    Ok(book)
  }

  /// A customer by id.
  pub fn get(&self, id: Id) -> Option<&Customer> {
    self.by_id.get(&id).map(|index| &self.customers[*index])
  }

  /// The customer that holds a key.
  pub fn key_owner(&self, key: Digest) -> Option<&Customer> {
    self.by_key.get(&key).map(|index| &self.customers[*index])
  }

  /// All customers, in the order of the deployment.
  pub fn all(&self) -> &[Customer] {
    &self.customers
  }

  /// Whether a caller's key still belongs to its customer.
  pub fn is_key_valid(&self, caller: &Caller) -> bool {
    let holder = self.key_owner(caller.key);
    holder.is_some_and(|customer| Id::for_customer(&customer.name) == caller.customer)
  }
}

impl Customer {
  fn fault(&self) -> Option<String> {
    if self.name.is_empty() {
      return Some("customer: `` has no name".into());
    }
    // It goes into a header as it is.
    if !self.name.bytes().all(|byte| byte.is_ascii_graphic()) {
      return Some(format!("customer: `{}` is not plain ASCII", self.name));
    }
    let quota = self.quota?;
    let fields = [("rate", quota.rate), ("burst", quota.burst)];
    let faulty = fields
      .into_iter()
      .find(|(_, value)| !value.is_finite() || *value < 0.0);
    faulty.map(|(field, value)| {
      format!(
        "{field}: `{value}` of customer `{}` is not a quota",
        self.name
      )
    })
  }
}

/// Who sent a request, and what it counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Caller {
  pub customer: Id,
  pub key: Digest,
  pub priority: Option<u8>,
  /// Units of its customer's quota.
  pub cost: u32,
}

/// A customer's standing over the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Standing {
  pub name: String,
  pub over_fleet: quota::Standing,
  pub quota: Option<Quota>,
}
