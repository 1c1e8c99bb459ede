//! Exchange of the records of streams between instances.
//!
//! Rendezvous hashing picks the instances that get the record of an attempt, and those that are asked
//! for it.

use super::{Key, Record, resume::ASKED};
use crate::{
  dispatch::Event,
  message::{Extension, Message},
  planner::Planner,
};
use std::{collections::BTreeMap, net::SocketAddr};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of other instances that get a record in a large fleet. A third of the instances may end at
/// once together with the one that recorded it: eight of nine records remain.
const COPIES: usize = 2;
/// Maximum number of other instances that all get each record: in a small fleet most instances may end
/// at once. 21 streams per second cost an instance 5.7 KB/s each way, with headers.
const ALL_OTHERS: usize = 6;
/// Maximum number of records or attempts in a datagram, at about 15 bytes each.
const MAX_ITEMS: usize = 80;
/// Maximum number of records taken at a time.
const MAX_TAKEN: usize = 1_024;

/// Number of other instances that get a record, of this many.
pub fn copies(others: usize) -> usize {
  match others <= ALL_OTHERS {
    true => others,
    false => COPIES,
  }
}

/// The `count` members with the highest weights for an attempt.
pub fn holders(members: &[SocketAddr], attempt: Key, count: usize) -> Vec<SocketAddr> {
  let weight = |member: &SocketAddr| match member {
    SocketAddr::V4(address) => {
      let number = u64::from(address.ip().to_bits()) << 16 | u64::from(address.port());
      xxh3_64_with_seed(&number.to_le_bytes(), attempt.0)
    }
    SocketAddr::V6(address) => xxh3_64_with_seed(address.to_string().as_bytes(), attempt.0),
  };
  let mut ranked: Vec<(u64, SocketAddr)> = members
    .iter()
    .map(|member| (weight(member), *member))
    .collect();
  ranked.sort_unstable_by(|left, right| right.cmp(left));
  let highest = ranked.into_iter().take(count);
  highest.map(|(_, member)| member).collect()
}

/// Items by the instances to which they are sent.
fn by_holder<T: Copy>(
  members: &[SocketAddr],
  items: &[T],
  attempt: impl Fn(&T) -> Key,
  count: usize,
) -> BTreeMap<SocketAddr, Vec<T>> {
  let mut groups: BTreeMap<SocketAddr, Vec<T>> = BTreeMap::new();
  for item in items {
    for holder in holders(members, attempt(item), count) {
      groups.entry(holder).or_default().push(*item);
    }
  }
  groups
}

impl Planner {
  /// Sends records to the instances that hold them, and questions about attempts.
  pub(crate) fn exchange_builds(&mut self) {
    let members = self.other_members(self.hub.now());
    let before = std::mem::replace(&mut self.record_holders, members.clone());
    let grown = before.len() < COPIES && before.len() < members.len();
    let copies = copies(members.len());
    let (records, earlier, attempts) = {
      let mut state = self.hub.state();
      if grown {
        state.streams.share_again();
      }
      let asked = state.instances.saturating_sub(1).min(ASKED);
      let misses_instances = state.planner_seen_at == 0 || members.len() < asked;
      state.streams.set_misses_instances(misses_instances);
      let everywhere = !grown && members.len() <= ALL_OTHERS;
      let has_joined = everywhere && members.iter().any(|member| !before.contains(member));
      // Records wait until other instances are known.
      let count = if members.is_empty() { 0 } else { MAX_TAKEN };
      let records = state.streams.take_unshared(count);
      let earlier = match has_joined {
        true => state.streams.shared(),
        false => Vec::new(),
      };
      (records, earlier, state.streams.take_questions())
    };
    let groups = by_holder(&members, &attempts, |attempt| *attempt, ASKED);
    for (holder, attempts) in groups {
      for part in attempts.chunks(MAX_ITEMS) {
        self.send(&Message::BuildQuestion(part.to_vec()), &[holder]);
      }
    }
    let mut groups = by_holder(&members, &records, |record| record.attempt, copies);
    if !earlier.is_empty() {
      let joined = members.iter().filter(|member| !before.contains(member));
      groups.extend(joined.map(|member| (*member, earlier.clone())));
    }
    for (holder, records) in groups {
      for part in records.chunks(MAX_ITEMS) {
        self.send_paced(&Message::Builds(part.to_vec()), &[holder]);
      }
    }
  }

  /// Addresses of the other instances, as far as this one knows them.
  fn other_members(&self, now: u64) -> Vec<SocketAddr> {
    let mut members = self.peer_addresses(now, 0);
    let holders = self.groups.iter().filter_map(|group| group.lease.holder());
    for holder in holders {
      if holder != self.own_address && !members.contains(&holder) {
        members.push(holder);
      }
    }
    members
  }

  /// Answers another instance's question about attempts.
  pub(crate) fn answer_builds(&self, now: u64, attempts: &[Key], from: SocketAddr) {
    let (mut known, mut unknown) = (Vec::new(), Vec::new());
    let outlasts_streams = {
      let state = self.hub.state();
      for attempt in attempts {
        match state.streams.find(now, *attempt) {
          Some(found) => known.push(Record {
            attempt: *attempt,
            build: found.build,
          }),
          None => unknown.push(*attempt),
        }
      }
      state.streams.outlasts_streams(now)
    };
    if !known.is_empty() {
      self.send(&Message::Builds(known), &[from]);
    }
    if !unknown.is_empty() {
      let extension = Extension {
        outlasts_streams,
        ..Extension::default()
      };
      self.send_extended(&Message::BuildsUnknown(unknown), &extension, &[from]);
    }
  }

  /// Processes records of another instance.
  pub(crate) fn receive_builds(&self, records: Vec<Record>, from: SocketAddr) {
    self.hub.apply(Event::Builds { from, records }, None);
  }

  /// Processes that another instance does not know attempts.
  pub(crate) fn receive_unknown_builds(
    &self,
    attempts: Vec<Key>,
    from: SocketAddr,
    outlasts_streams: bool,
  ) {
    let event = Event::BuildsUnknown {
      from,
      attempts,
      outlasts_streams,
    };
    self.hub.apply(event, None);
  }
}
