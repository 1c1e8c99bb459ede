//! A request's share of the ledger, which is released when the request ends.

use super::{Bounds, Key, Ledger, Scope};
use crate::{hub::lock, quota::Id, socket::READ_BYTES};
use std::sync::{Arc, Mutex};

/// The ledger of an instance, shared by its threads.
#[derive(Clone, Debug)]
pub struct Book {
  ledger: Arc<Mutex<Ledger>>,
  /// Empty buffers of `READ_BYTES`. Buffers that each thread allocates for itself stay with its
  /// part of the heap, so that a process holds several times what its callers hold.
  buffers: Arc<Mutex<Vec<Vec<u8>>>>,
}

impl Book {
  /// Creates an empty ledger.
  pub fn new(bounds: Bounds) -> Self {
    Self {
      ledger: Arc::new(Mutex::new(Ledger::new(bounds))),
      buffers: Arc::default(),
    }
  }

  /// Opens an account for a request.
  ///
  /// # Errors
  ///
  /// The bound that leaves no room.
  pub fn open(&self) -> Result<Account, Scope> {
    let key = lock(&self.ledger).admit()?;
    Ok(Account {
      book: self.clone(),
      key,
    })
  }

  /// Bytes held in total.
  pub fn total(&self) -> u64 {
    lock(&self.ledger).total()
  }
}

/// A request's account. Methods are those of `Ledger`, but for `receive`.
#[derive(Debug)]
pub struct Account {
  book: Book,
  key: Key,
}

impl Account {
  pub fn assign(&self, customer: Id) -> Result<(), Scope> {
    lock(&self.book.ledger).assign(self.key, customer)
  }

  /// Charges a body on its way in. A body that does not fit is no longer charged, so that it keeps no
  /// other one out until its bytes are freed.
  pub fn receive(&self, loose: u64) -> Result<(), Scope> {
    let mut ledger = lock(&self.book.ledger);
    let result = ledger.receive(self.key, loose);
    if result.is_err() {
      ledger.discard(self.key);
    }
    result
  }

  pub fn grow(&self, loose: u64) -> Result<(), Scope> {
    lock(&self.book.ledger).grow(self.key, loose)
  }

  pub fn keep(&self, loose: u64) {
    lock(&self.book.ledger).keep(self.key, loose);
  }

  pub fn settle(&self) {
    lock(&self.book.ledger).settle(self.key);
  }

  pub fn hold(&self, before: u64, now: u64) {
    lock(&self.book.ledger).hold(self.key, before, now);
  }

  pub fn is_dropped(&self) -> bool {
    lock(&self.book.ledger).is_dropped(self.key)
  }

  /// Takes an empty buffer of `READ_BYTES`.
  pub fn take_buffer(&self) -> Vec<u8> {
    let buffer = lock(&self.book.buffers).pop();
    buffer.unwrap_or_else(|| Vec::with_capacity(READ_BYTES))
  }

  /// Returns a buffer that is not needed any more.
  pub fn return_buffer(&self, mut buffer: Vec<u8>) {
    buffer.clear();
    lock(&self.book.buffers).push(buffer);
  }

  /// Bytes held in total, for the log.
  pub fn total(&self) -> u64 {
    self.book.total()
  }
}

impl Drop for Account {
  fn drop(&mut self) {
    lock(&self.book.ledger).release(self.key);
  }
}
