//! Datagrams that are sent some times over, for one may be lost.

/// When an entry is sent, ms after it was added: three in a thousand are lost to all three
/// over a link that loses one in seven.
const SENDS_MS: [u64; 3] = [0, 100, 400];

/// Entries and their sends that are due.
#[derive(Clone, Debug)]
pub struct Repeated<T> {
  entries: Vec<Entry<T>>,
}

#[derive(Clone, Debug)]
struct Entry<T> {
  value: T,
  added: u64,
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
  /// Adds an entry; its first send is due.
  pub fn add(&mut self, now: u64, value: T) {
    let entry = Entry {
      value,
      added: now,
      sends: 0,
    };
    self.entries.push(entry);
  }

  /// When the next send is due, ms.
  pub fn due(&self) -> Option<u64> {
    let due = self.entries.iter();
    due.map(|entry| entry.added + SENDS_MS[entry.sends]).min()
  }

  /// What is to be sent now.
  pub fn take(&mut self, now: u64) -> Vec<T> {
    let mut taken = Vec::new();
    for entry in &mut self.entries {
      if entry.added + SENDS_MS[entry.sends] <= now {
        taken.push(entry.value);
        entry.sends += 1;
      }
    }
    self.entries.retain(|entry| entry.sends < SENDS_MS.len());
    taken
  }
}
