//! Entries of datagrams that are sent several times, because a datagram may be lost.

/// Send times of an entry after it was added. On a link that loses one datagram in seven, three
/// entries in a thousand are lost in all three sends.
const SEND_DELAYS_MS: [u64; 3] = [0, 100, 400];

/// Entries that have sends left.
#[derive(Clone, Debug)]
pub struct Repeated<T> {
  entries: Vec<Entry<T>>,
}

#[derive(Clone, Debug)]
struct Entry<T> {
  value: T,
  added_at: u64,
  sends: usize,
}

impl<T> Default for Repeated<T> {
  fn default() -> Self {
    Self {
      entries: Vec::new(),
    }
  }
}

impl<T: Copy> Repeated<T> {
  /// Adds an entry, whose first send is due at once.
  pub fn add(&mut self, now: u64, value: T) {
    let entry = Entry {
      value,
      added_at: now,
      sends: 0,
    };
    self.entries.push(entry);
  }

  /// Removes entries whose remaining sends are not needed.
  pub fn remove(&mut self, is_removed: impl Fn(&T) -> bool) {
    self.entries.retain(|entry| !is_removed(&entry.value));
  }

  /// Returns when the next send is due, in ms.
  pub fn due(&self) -> Option<u64> {
    let due = self.entries.iter();
    due
      .map(|entry| entry.added_at + SEND_DELAYS_MS[entry.sends])
      .min()
  }

  /// Returns the entries to send now.
  pub fn take(&mut self, now: u64) -> Vec<T> {
    let mut taken = Vec::new();
    for entry in &mut self.entries {
      if entry.added_at + SEND_DELAYS_MS[entry.sends] <= now {
        taken.push(entry.value);
        entry.sends += 1;
      }
    }
    self
      .entries
      .retain(|entry| entry.sends < SEND_DELAYS_MS.len());
    taken
  }
}
