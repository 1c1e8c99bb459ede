//! Customers: who may call, with which keys, and how much of the fleet they may use.
//!
//! Load pattern: a few large customers and many small ones, each at any instance; one of them
//! asks for many times its usual at once, and keys are taken away while requests wait. Pure:
//! no I/O, no clock. A key is known by its digest alone; nothing here could show one.

mod account;
mod credential;
mod digest;
mod purse;
mod turn;
mod window;

pub use account::{Accounts, Quarters, Standing, Sums};
pub use credential::{Lack, caller};
pub use digest::Digest;
pub use purse::{AGAIN_MS, Purse, Spending};
pub use turn::Turns;
pub use window::Window;

use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};
use xxhash_rust::xxh3::xxh3_64;

/// Names a customer over all versions of a deployment: a hash of its name. Of ten thousand
/// customers two share one with a probability of 3 in 10^12.
#[derive(
  Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Id(pub u64);

impl Id {
  /// The customer of a name.
  pub fn of(name: &str) -> Self {
    Self(xxh3_64(name.as_bytes()))
  }
}

/// What a quota counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Unit {
  /// Each request is one.
  #[default]
  Requests,
  /// Tokens of the prompt and the most that come out; this many where a request names none.
  Tokens { plain: u32 },
}

/// What a customer may use, over all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
  /// Units a second.
  pub rate: f64,
  /// Units on top, at once.
  pub burst: f64,
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
pub struct Book {
  customers: Vec<Customer>,
  by_id: HashMap<Id, usize>,
  by_key: HashMap<Digest, usize>,
}

impl Book {
  /// The customers, checked; an error names field and value, and no key.
  pub fn open(customers: Vec<Customer>) -> Result<Self, String> {
    let mut book = Self::default();
    for (index, customer) in customers.iter().enumerate() {
      let name = &customer.name;
      if let Some(fault) = customer.fault() {
        return Err(fault);
      }
      if book.by_id.insert(Id::of(name), index).is_some() {
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
  pub fn holder(&self, key: Digest) -> Option<&Customer> {
    self.by_key.get(&key).map(|index| &self.customers[*index])
  }

  /// All customers, in the order of the deployment.
  pub fn all(&self) -> &[Customer] {
    &self.customers
  }

  /// Whether a caller's key still belongs to its customer.
  pub fn admits(&self, caller: &Caller) -> bool {
    let holder = self.holder(caller.key);
    holder.is_some_and(|customer| Id::of(&customer.name) == caller.customer)
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

/// What all instances together must keep of a quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
  /// Length of the window, ms.
  pub window_ms: u64,
  /// Part of a window's quota that may be used on top.
  pub overage: f64,
  /// Units on top besides.
  pub slack: f64,
}

/// What is kept where the settings state nothing else.
pub const BOUND: Bound = Bound {
  window_ms: 8_000,
  overage: 0.1,
  slack: 0.0,
};

impl Bound {
  /// Units that a quota allows in one window.
  pub fn window(&self, quota: &Quota) -> f64 {
    quota.rate * self.window_ms as f64 / 1_000.0 + quota.burst
  }

  /// Units that may be used in one window beyond the quota itself.
  pub fn reserve(&self, quota: &Quota) -> f64 {
    self.window(quota) * self.overage + self.slack
  }
}

/// What an instance has used of a customer's quota since it started, and needs now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Use {
  pub customer: Id,
  pub used: i64,
  /// Units of requests that wait for a grant.
  pub need: u32,
  /// Units used without a grant within the last window, for a holder that has taken over.
  pub apart: u32,
}

/// How far an instance may go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
  pub customer: Id,
  /// It may use until what it has used since its start reaches this.
  pub limit: i64,
  /// What it needs is beyond the quota for so much longer, ms; 0: it is not.
  pub over_ms: u32,
}
