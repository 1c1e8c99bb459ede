//! The ledger of held bytes. Pure: no I/O, no clock.

use super::{BASE_BYTES, Bounds};
use crate::quota::Id;
use slotmap::{SlotMap, new_key_type};
use std::collections::HashMap;

new_key_type! {
  /// A request in the ledger.
  pub struct Key;
}

/// The bound that leaves no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
  Caller,
  Customer,
  Instance,
}

impl Scope {
  /// Returns the name used in logs.
  pub fn as_str(self) -> &'static str {
    match self {
      Self::Caller => "caller",
      Self::Customer => "customer",
      Self::Instance => "instance",
    }
  }
}

/// Bytes held for one request.
#[derive(Clone, Copy, Debug, Default)]
struct Entry {
  customer: Option<Id>,
  /// A complete body, or an answer that is complete or was begun by its server.
  fixed: u64,
  /// Bytes that dropping the caller releases at no loss to anybody else: a body that has not
  /// arrived in full, and parts of an answer that the caller has not read.
  loose: u64,
  dropped: bool,
}

impl Entry {
  fn charge(&self) -> u64 {
    BASE_BYTES.max(self.fixed + self.loose)
  }

  /// Bytes that are released if the caller is dropped.
  fn releasable(&self) -> u64 {
    self.charge() - BASE_BYTES.max(self.fixed)
  }
}

/// Bytes held for callers, by request, customer and in total.
#[derive(Clone, Debug)]
pub struct Ledger {
  bounds: Bounds,
  entries: SlotMap<Key, Entry>,
  by_customer: HashMap<Id, u64>,
  total: u64,
}

impl Ledger {
  /// Creates an empty ledger.
  pub fn new(bounds: Bounds) -> Self {
    Self {
      bounds,
      entries: SlotMap::with_key(),
      by_customer: HashMap::new(),
      total: 0,
    }
  }

  /// Bytes charged in total.
  pub fn total(&self) -> u64 {
    self.total
  }

  /// Bytes charged to a customer.
  pub fn customer_total(&self, customer: Id) -> u64 {
    self.by_customer.get(&customer).copied().unwrap_or_default()
  }

  /// Loose bytes of a request.
  pub fn loose(&self, key: Key) -> u64 {
    self.entries.get(key).map_or(0, |entry| entry.loose)
  }

  /// Enters a request whose customer is not known yet.
  ///
  /// # Errors
  ///
  /// The bound that leaves no room. A caller is chosen to be dropped then, so that there is room
  /// for later requests.
  pub fn admit(&mut self) -> Result<Key, Scope> {
    if self.total + BASE_BYTES > self.bounds.instance {
      self.make_room(None, BASE_BYTES);
      return Err(Scope::Instance);
    }
    self.total += BASE_BYTES;
    Ok(self.entries.insert(Entry::default()))
  }

  /// Charges a request to its customer.
  ///
  /// # Errors
  ///
  /// The customer's bound leaves no room, and the request stays charged to none.
  pub fn assign(&mut self, key: Key, customer: Id) -> Result<(), Scope> {
    let Some(entry) = self.entries.get_mut(key) else {
      return Ok(());
    };
    let charge = entry.charge();
    let held = self.by_customer.get(&customer).copied().unwrap_or_default();
    if held + charge > self.bounds.customer {
      self.make_room(Some(customer), charge);
      return Err(Scope::Customer);
    }
    entry.customer = Some(customer);
    self.by_customer.insert(customer, held + charge);
    Ok(())
  }

  /// Changes the loose bytes of a request, which are those of a body on its way in. Fewer bytes
  /// always fit.
  ///
  /// # Errors
  ///
  /// The bound that leaves no room; nothing changes, and nobody is dropped for a body.
  pub fn receive(&mut self, key: Key, loose: u64) -> Result<(), Scope> {
    let Some(entry) = self.entries.get(key).copied() else {
      return Ok(());
    };
    let wanted = Entry { loose, ..entry };
    let more = wanted.charge().saturating_sub(entry.charge());
    if more > 0
      && let Some(scope) = self.exceeded(&wanted, more)
    {
      return Err(scope);
    }
    self.replace(key, wanted);
    Ok(())
  }

  /// Like `receive`, for an answer. Beyond a customer's bound or the instance's, the caller with most
  /// loose bytes is chosen to be dropped, which may be this one: a server must not be left unread.
  ///
  /// # Errors
  ///
  /// The bound that leaves no room; nothing else changes.
  pub fn grow(&mut self, key: Key, loose: u64) -> Result<(), Scope> {
    let result = self.receive(key, loose);
    let Some(entry) = self.entries.get(key).copied() else {
      return Ok(());
    };
    let more = Entry { loose, ..entry }
      .charge()
      .saturating_sub(entry.charge());
    match result {
      Err(Scope::Customer) => self.make_room(entry.customer, more),
      Err(Scope::Instance) => self.make_room(None, more + self.bounds.arrivals()),
      Ok(()) | Err(Scope::Caller) => {}
    }
    result
  }

  /// The bound that `more` bytes of an entry exceed.
  fn exceeded(&self, wanted: &Entry, more: u64) -> Option<Scope> {
    // What is fixed is a complete body or answer, which is bounded on its own.
    if wanted.loose > self.bounds.caller {
      return Some(Scope::Caller);
    }
    let held = wanted
      .customer
      .map_or(0, |customer| self.customer_total(customer));
    if wanted.customer.is_some() && held + more > self.bounds.customer {
      return Some(Scope::Customer);
    }
    (self.total + more > self.bounds.shared()).then_some(Scope::Instance)
  }

  /// Like `grow`, for parts of an answer that are in memory already; they always fit.
  pub fn keep(&mut self, key: Key, loose: u64) {
    let Some(entry) = self.entries.get(key).copied() else {
      return;
    };
    self.replace(key, Entry { loose, ..entry });
    if self.total > self.bounds.instance {
      self.make_room(None, 0);
    }
  }

  /// Makes the loose bytes of a request fixed: its body is complete.
  pub fn settle(&mut self, key: Key) {
    if let Some(entry) = self.entries.get(key).copied() {
      let fixed = entry.fixed + entry.loose;
      self.replace(
        key,
        Entry {
          fixed,
          loose: 0,
          ..entry
        },
      );
    }
  }

  /// Changes the fixed bytes of a request by what its server has answered. This always fits, since
  /// the server has done its work; the bound then keeps others out.
  pub fn hold(&mut self, key: Key, before: u64, now: u64) {
    let Some(entry) = self.entries.get(key).copied() else {
      return;
    };
    let fixed = entry.fixed.saturating_sub(before) + now;
    self.replace(key, Entry { fixed, ..entry });
    if self.total > self.bounds.instance {
      self.make_room(None, 0);
    }
  }

  /// Releases the loose bytes of a request.
  pub fn discard(&mut self, key: Key) {
    if let Some(entry) = self.entries.get(key).copied() {
      self.replace(key, Entry { loose: 0, ..entry });
    }
  }

  /// Releases all that is held for a request.
  pub fn release(&mut self, key: Key) {
    if let Some(entry) = self.entries.remove(key) {
      self.charge(entry.customer, entry.charge(), 0);
    }
  }

  /// Whether the caller was chosen to be dropped.
  pub fn is_dropped(&self, key: Key) -> bool {
    self.entries.get(key).is_some_and(|entry| entry.dropped)
  }

  /// The caller, of a customer if one is given, whose drop releases most.
  pub fn victim(&self, customer: Option<Id>) -> Option<Key> {
    let entries = self.entries.iter();
    entries
      .filter(|(_, entry)| !entry.dropped && entry.releasable() > 0)
      .filter(|(_, entry)| customer.is_none() || entry.customer == customer)
      .max_by_key(|(key, entry)| (entry.releasable(), *key))
      .map(|(key, _)| key)
  }

  /// Chooses callers to be dropped until `more` bytes fit, counting those chosen before.
  fn make_room(&mut self, customer: Option<Id>, more: u64) {
    let (held, bound) = match customer {
      Some(customer) => (self.customer_total(customer), self.bounds.customer),
      None => (self.total, self.bounds.instance),
    };
    let dropped = self.entries.values().filter(|entry| entry.dropped);
    let in_scope = dropped.filter(|entry| customer.is_none() || entry.customer == customer);
    let mut expected = held.saturating_sub(in_scope.map(Entry::releasable).sum());
    while expected + more > bound {
      let Some(key) = self.victim(customer) else {
        return;
      };
      let entry = &mut self.entries[key];
      entry.dropped = true;
      expected = expected.saturating_sub(entry.releasable());
    }
  }

  fn replace(&mut self, key: Key, entry: Entry) {
    let before = self.entries[key].charge();
    self.charge(entry.customer, before, entry.charge());
    // A caller that has caught up need not be dropped any more.
    let dropped = entry.dropped && entry.releasable() > 0;
    self.entries[key] = Entry { dropped, ..entry };
  }

  fn charge(&mut self, customer: Option<Id>, before: u64, now: u64) {
    self.total = self.total - before + now;
    let Some(customer) = customer else {
      return;
    };
    let Some(held) = self.by_customer.get_mut(&customer) else {
      return;
    };
    *held = *held - before + now;
    if *held == 0 {
      self.by_customer.remove(&customer);
    }
  }
}
