//! The builds at which recent streams began, by the attempt whose caller received the first event.
//!
//! The instance that delivers a first event records the build. While its pool serves several builds,
//! it sends the record to other instances: the caller may resume its stream at any of them.

use super::{
  Id, Key, MAX_LIST_LAG_MS, Record, confirm::Confirmation, history::Known as KnownBuilds,
};
use std::{
  collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
  net::SocketAddr,
};
use xxhash_rust::xxh3::xxh3_64;

/// How long records are kept, and how long a build counts after its last server has left, in ms. The
/// longest deadline of a request is 35 s.
const TTL_MS: u64 = 40_000;
/// Maximum number of records, about 0.5 MB.
const MAX_RECORDS: usize = 8_192;

/// What is known of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Known {
  pub build: Id,
  /// When it was recorded or received, in ms.
  pub at: u64,
  /// The instance that sent the record; `None` if this instance delivered the first event.
  pub from: Option<SocketAddr>,
  /// Hash of the pool's name; 0 in a record of another instance.
  pool: u64,
}

/// Whether a pool has servers of a build.
#[derive(Clone, Copy, Debug)]
struct Presence {
  present: bool,
  /// When it last had one, in ms.
  last: u64,
}

impl Presence {
  /// Whether streams of the build may go on.
  fn is_recent(self, now: u64) -> bool {
    self.present || now < self.last + TTL_MS
  }
}

/// Records of streams, and the builds of each pool.
#[derive(Clone, Debug, Default)]
pub struct Streams {
  records: HashMap<Key, Known>,
  /// Attempts in the order of their records' times.
  order: VecDeque<(Key, u64)>,
  /// Records to send to other instances.
  unshared: VecDeque<Key>,
  /// Attempts about which other instances are to be asked.
  questions: Vec<Key>,
  /// Builds by the hash of the pool's name.
  pools: BTreeMap<(u64, Id), Presence>,
  /// Pools of routes with resumable streams, by the hashes of the names of the route and the pool.
  routes: BTreeMap<(u64, u64), Presence>,
  /// Since when this instance knows the servers of all pools, in ms.
  watched_since: Option<u64>,
  /// Whether `pools` has the builds that left before that.
  past_known: bool,
  /// Whether the stored builds are still to be read.
  past_awaited: bool,
  /// Whether they are to be read once more.
  past_missed: bool,
  pub(super) confirmation: Confirmation,
  /// When this instance last knew of fewer instances than before, in ms.
  instances_fell_at: Option<u64>,
  /// Whether there were no streams before this process started.
  is_first_start: bool,
  /// Whether addresses of instances that are to be asked are not known yet.
  misses_instances: bool,
}

impl Streams {
  /// What an instance knows that starts with the whole system, before which there were no streams.
  pub fn first_start() -> Self {
    Self {
      past_known: true,
      is_first_start: true,
      ..Self::default()
    }
  }

  /// What any other instance knows when it starts.
  pub fn later_start() -> Self {
    Self {
      past_awaited: true,
      ..Self::default()
    }
  }

  /// Records that the servers of all pools are known. Times count from the start of the process:
  /// other instances may have begun streams before a late first list, also at the first start.
  pub fn watch(&mut self, now: u64) {
    if self.watched_since.is_none() {
      self.watched_since = Some(now);
      self.past_known &= now <= MAX_LIST_LAG_MS;
    }
  }

  /// How long the servers of all pools have been known, in ms; `None` if they are not.
  pub fn watched_ms(&self, now: u64) -> Option<u64> {
    self.watched_since.map(|since| now - since)
  }

  /// Records that the servers of all pools are not known: builds may come and go unseen.
  pub fn interrupt_watch(&mut self, now: u64) {
    self.watched_since = Some(now);
    self.past_known = false;
    self.past_awaited = true;
    self.past_missed = true;
  }

  /// Takes whether builds may have come and gone unseen, so that the stored ones are read once more.
  pub fn take_missed_past(&mut self) -> bool {
    std::mem::take(&mut self.past_missed)
  }

  /// Records that the stored builds were read.
  pub fn end_wait(&mut self) {
    self.past_awaited = false;
  }

  /// Whether the stored builds, still to be read, may complete what is known.
  pub fn awaits_past(&self, now: u64) -> bool {
    self.past_awaited && !self.knows_past(now)
  }

  /// Takes the request that the store be asked for the present builds.
  pub fn take_confirmation_request(&mut self) -> bool {
    self.confirmation.take_request()
  }

  /// Records that instances are taken for gone; they may also be partitioned from this one.
  pub fn record_lost_instances(&mut self, now: u64) {
    self.instances_fell_at = Some(now);
  }

  /// Whether no instance was taken for gone since a time, in ms.
  pub fn has_all_instances_since(&self, since: u64) -> bool {
    self.instances_fell_at.is_none_or(|fell_at| fell_at < since)
  }

  /// Records whether addresses of instances that are to be asked are not known yet.
  pub fn set_misses_instances(&mut self, misses_instances: bool) {
    self.misses_instances = misses_instances;
  }

  /// Whether addresses of instances that are to be asked are not known yet.
  pub fn misses_instances(&self) -> bool {
    self.misses_instances
  }

  /// Whether the builds of all pools are known that can have streams.
  pub fn knows_past(&self, now: u64) -> bool {
    let watched_ms = self.watched_ms(now);
    self.past_known || watched_ms.is_some_and(|watched_ms| watched_ms >= TTL_MS)
  }

  /// Whether all streams that callers may resume began after this process started.
  pub fn outlasts_streams(&self, now: u64) -> bool {
    self.is_first_start || now >= TTL_MS
  }

  /// Builds that have servers, or had some lately.
  pub fn known(&self, now: u64) -> KnownBuilds {
    let pools: BTreeSet<u64> = self.pools.keys().map(|(pool, _)| *pool).collect();
    let builds = pools.into_iter().flat_map(|pool| {
      let builds = self.builds(now, pool).into_iter();
      builds.map(move |build| (pool, build))
    });
    KnownBuilds {
      builds: builds.collect(),
      complete: self.knows_past(now),
    }
  }

  /// Adds builds that other instances knew. Returns whether records are to be sent.
  pub fn add_history(&mut self, now: u64, history: &KnownBuilds) -> bool {
    self.past_known |= history.complete;
    let mut grown = Vec::new();
    for (pool, build) in &history.builds {
      let absent = Presence {
        present: false,
        last: now,
      };
      let seen = self.pools.entry((*pool, *build)).or_insert_with(|| {
        grown.push(*pool);
        absent
      });
      seen.last = now;
    }
    self.share_pools(now, grown)
  }

  /// Updates the builds of all pools. Returns whether other threads are to be told: records are to
  /// be sent, or a pool has another build.
  pub fn update_pools<'a>(
    &mut self,
    now: u64,
    servers: impl Iterator<Item = (&'a str, Id)>,
  ) -> bool {
    for presence in self.pools.values_mut() {
      if std::mem::take(&mut presence.present) {
        presence.last = now;
      }
    }
    let mut grown = Vec::new();
    for (pool, build) in servers.filter(|(_, build)| *build != Id::UNKNOWN) {
      let pool = hash(pool);
      let before = self.pools.insert(
        (pool, build),
        Presence {
          present: true,
          last: now,
        },
      );
      if before.is_none() {
        grown.push(pool);
      }
    }
    self.pools.retain(|_, seen| seen.is_recent(now));
    let has_grown = !grown.is_empty();
    self.share_pools(now, grown) || has_grown
  }

  /// Updates which pools have the requests of routes with resumable streams. Returns whether records
  /// are to be sent.
  pub fn update_routes<'a>(
    &mut self,
    now: u64,
    parts: impl Iterator<Item = (&'a str, &'a str)>,
  ) -> bool {
    for presence in self.routes.values_mut() {
      if std::mem::take(&mut presence.present) {
        presence.last = now;
      }
    }
    let seen = Presence {
      present: true,
      last: now,
    };
    let mut grown = BTreeSet::new();
    for (route, pool) in parts {
      let pool = hash(pool);
      if self.routes.insert((hash(route), pool), seen).is_none() {
        grown.insert(pool);
      }
    }
    self.routes.retain(|_, seen| seen.is_recent(now));
    let grown = grown.into_iter();
    let pools: BTreeSet<u64> = grown
      .flat_map(|pool| self.pools_with_common_routes(now, pool))
      .collect();
    self.share_pools(now, pools.into_iter().collect())
  }

  /// Records builds of servers that may have left again since the last update. Returns whether
  /// other threads are to be told, as `update_pools` does.
  pub fn record_passing<'a>(
    &mut self,
    now: u64,
    servers: impl Iterator<Item = (&'a str, Id)>,
  ) -> bool {
    let passing = KnownBuilds {
      builds: servers
        .filter(|(_, build)| *build != Id::UNKNOWN)
        .map(|(pool, build)| (hash(pool), build))
        .collect(),
      complete: false,
    };
    let known_before = self.pools.len();
    self.add_history(now, &passing) || self.pools.len() > known_before
  }

  /// Shares own records of pools that have several builds now. Returns whether there are any.
  fn share_pools(&mut self, now: u64, mut grown: Vec<u64>) -> bool {
    grown.retain(|pool| self.count(now, *pool) > 1);
    let own = self.order.iter().filter(|(key, at)| {
      let known = self.records.get(key);
      known.is_some_and(|known| known.at == *at && grown.contains(&known.pool))
    });
    // The newest streams are the most likely to be resumed.
    let own: Vec<Key> = own.rev().map(|(key, _)| *key).collect();
    for attempt in &own {
      self.share(*attempt);
    }
    !own.is_empty()
  }

  /// The only build that a pool has had lately; `None` if it has had several, or no server.
  pub fn only_build(&self, now: u64, pool: &str) -> Option<Id> {
    let pool = hash(pool);
    let builds = self.builds(now, pool);
    builds.first().copied().filter(|_| builds.len() == 1)
  }

  /// Builds at which streams of the pool's routes may have begun.
  fn builds(&self, now: u64, pool: u64) -> BTreeSet<Id> {
    let pools = self.pools_with_common_routes(now, pool).into_iter();
    let builds = pools.flat_map(|pool| {
      let builds = self.pools.range((pool, Id::UNKNOWN)..);
      builds.take_while(move |((other, _), _)| *other == pool)
    });
    let lately = builds.filter(|(_, seen)| seen.is_recent(now));
    lately.map(|((_, build), _)| *build).collect()
  }

  /// The pool, and those that have or lately had a route in common with it.
  fn pools_with_common_routes(&self, now: u64, pool: u64) -> BTreeSet<u64> {
    let lately = self.routes.iter().filter(|(_, seen)| seen.is_recent(now));
    let lately = lately.map(|(part, _)| *part);
    let own = lately.clone().filter(|(_, other)| *other == pool);
    let own: BTreeSet<u64> = own.map(|(route, _)| route).collect();
    let parts = lately.filter(|(route, _)| own.contains(route));
    parts.map(|(_, pool)| pool).chain([pool]).collect()
  }

  fn count(&self, now: u64, pool: u64) -> usize {
    self.builds(now, pool).len()
  }

  /// Records the build of a stream whose first event this instance has delivered. Returns whether
  /// the record is to be sent.
  pub fn record(&mut self, now: u64, attempt: Key, pool: &str, build: Id) -> bool {
    let pool = hash(pool);
    let known = Known {
      build,
      at: now,
      from: None,
      pool,
    };
    self.insert(attempt, known);
    let several = self.count(now, pool) > 1;
    if several {
      self.share(attempt);
    }
    several
  }

  /// Sends the records of pools with several builds once more, because too few instances were known.
  pub fn share_again(&mut self) {
    let shared = self.shared();
    self.unshared.clear();
    self
      .unshared
      .extend(shared.iter().map(|record| record.attempt));
  }

  /// Own records of pools with several builds, the newest first.
  pub fn shared(&self) -> Vec<Record> {
    let attempts = self.order.iter().rev().map(|(attempt, _)| *attempt);
    let shared = attempts.filter(|attempt| self.is_shared(*attempt));
    shared
      .filter_map(|attempt| self.to_record(attempt))
      .collect()
  }

  fn to_record(&self, attempt: Key) -> Option<Record> {
    let known = self.records.get(&attempt)?;
    Some(Record {
      attempt,
      build: known.build,
    })
  }

  fn is_shared(&self, attempt: Key) -> bool {
    let Some(known) = self.records.get(&attempt) else {
      return false;
    };
    known.from.is_none() && self.count(known.at, known.pool) > 1
  }

  fn share(&mut self, attempt: Key) {
    if self.unshared.len() < MAX_RECORDS {
      self.unshared.push_back(attempt);
    }
  }

  /// Records what another instance knows. Its own records stay as they are.
  pub fn receive(&mut self, now: u64, record: Record, from: SocketAddr) {
    let known = Known {
      build: record.build,
      at: now,
      from: Some(from),
      pool: 0,
    };
    if self.find(now, record.attempt).is_none() {
      self.insert(record.attempt, known);
    }
  }

  fn insert(&mut self, attempt: Key, known: Known) {
    self.records.insert(attempt, known);
    self.order.push_back((attempt, known.at));
    while let Some((oldest, at)) = self.order.front().copied() {
      if known.at < at + TTL_MS && self.order.len() <= MAX_RECORDS {
        break;
      }
      self.order.pop_front();
      if self
        .records
        .get(&oldest)
        .is_some_and(|known| known.at == at)
      {
        self.records.remove(&oldest);
      }
    }
  }

  /// What is known of the stream of an attempt.
  pub fn find(&self, now: u64, attempt: Key) -> Option<Known> {
    let known = self.records.get(&attempt).copied();
    known.filter(|known| now < known.at + TTL_MS)
  }

  /// Requests that other instances are asked about an attempt.
  pub fn ask(&mut self, attempt: Key) {
    self.questions.push(attempt);
  }

  /// Takes at most `count` records to send.
  pub fn take_unshared(&mut self, count: usize) -> Vec<Record> {
    let count = count.min(self.unshared.len());
    let taken: Vec<Key> = self.unshared.drain(..count).collect();
    let taken = taken.into_iter();
    taken
      .filter_map(|attempt| self.to_record(attempt))
      .collect()
  }

  /// Takes the attempts about which other instances are to be asked.
  pub fn take_questions(&mut self) -> Vec<Key> {
    std::mem::take(&mut self.questions)
  }
}

pub(super) fn hash(pool: &str) -> u64 {
  xxh3_64(pool.as_bytes())
}
