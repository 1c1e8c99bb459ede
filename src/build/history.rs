//! The builds that each pool has had lately, kept in the store for instances that start later: these
//! cannot know which builds left before their start.
//!
//! Each instance reads the record at its start, and after it has not known all servers for a while;
//! again if it was absent or incomplete. The lease holder writes it when a build joins, and once a
//! build can have no streams any more: one call for each start of an instance, two for each change
//! of a build.

use super::Id;
use crate::{
  dispatch::Event,
  planner::{Completion, Planner},
  store::{Error, Object, Result},
  stored::{Call, Calls, Content},
};
use serde::{Deserialize, Serialize};
use slog::info;
use std::collections::BTreeSet;

/// Pause before a record that is absent or incomplete is read again. After an upgrade from a
/// release without records, 295 instances make these calls for as long as a stream lasts.
const REREAD_MS: u64 = 2_000;

/// Builds by the hash of their pool's name.
pub type Builds = BTreeSet<(u64, Id)>;

/// Content of the object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Record {
  /// Era of the store in which it was written.
  pub era: u64,
  /// Whether its writer knew all builds that can have had streams.
  pub complete: bool,
  pub builds: Vec<Entry>,
}

/// A build of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Entry {
  /// Hash of the pool's name, in hexadecimal digits.
  pub pool: String,
  /// The build, as written in logs.
  pub build: String,
}

/// The builds that an instance knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Known {
  pub builds: Builds,
  /// Whether these are all builds that can have streams.
  pub complete: bool,
}

/// An instance's view of the stored record.
#[derive(Clone, Debug, Default)]
pub struct History {
  calls: Calls,
  /// The record as last read or written.
  stored: Known,
  /// Era in which the record was written.
  era: u64,
  /// When the record was last read, in ms.
  read_at: u64,
  holding: bool,
}

impl Entry {
  fn new(pool: u64, build: Id) -> Self {
    Self {
      pool: format!("{pool:016x}"),
      build: build.to_string(),
    }
  }

  fn parse(&self) -> Option<(u64, Id)> {
    let pool = u64::from_str_radix(&self.pool, 16).ok()?;
    let build = u32::from_str_radix(&self.build, 16).ok()?;
    Some((pool, Id(build)))
  }
}

impl Record {
  fn new(era: u64, known: Known) -> Self {
    let builds = known.builds.into_iter();
    Self {
      era,
      complete: known.complete,
      builds: builds
        .map(|(pool, build)| Entry::new(pool, build))
        .collect(),
    }
  }

  /// What the record says in an era of the store. A record of an earlier era may lack builds, and so
  /// does one with an invalid entry.
  fn known(&self, era: u64) -> Known {
    let builds: Builds = self.builds.iter().filter_map(Entry::parse).collect();
    Known {
      complete: self.complete && self.era == era && builds.len() == self.builds.len(),
      builds,
    }
  }
}

impl History {
  /// Returns the next call if one is due. `known` returns what this instance knows.
  pub fn call(
    &mut self,
    now: u64,
    holding: bool,
    era: u64,
    known: impl Fn() -> Known,
  ) -> Option<Call<Record>> {
    let acquired = holding && !self.holding;
    self.holding = holding;
    let revision = self.calls.revision();
    // Another holder may have written the record, or an older copy may have replaced it.
    if acquired || revision.is_some_and(|revision| revision.era < era) {
      self.calls.invalidate();
    }
    // A holder of the lease may have completed it since.
    let is_due = !holding && !self.stored.complete && now >= self.read_at + REREAD_MS;
    if is_due && revision.is_some() && !known().complete {
      self.calls.invalidate();
    }
    let (stored, stored_era) = (&self.stored, self.era);
    self.calls.next(now, || {
      let era = revision?.era;
      let known = holding.then(&known)?;
      let is_current = stored_era == era && *stored == known;
      (!is_current).then(|| Record::new(era, known))
    })
  }

  /// Has the record read again: builds may have come and gone unseen.
  pub fn invalidate(&mut self) {
    self.calls.invalidate();
  }

  /// Handles the result of a call. Returns the builds that were read.
  pub fn answered(
    &mut self,
    now: u64,
    call: &Call<Record>,
    result: Result<Object>,
  ) -> Option<Known> {
    let content = self.calls.finish(now, call, result);
    let era = self.calls.revision().map_or(0, |revision| revision.era);
    match (call, content) {
      (_, Content::Absent) => {
        self.read_at = now;
        self.stored = Known::default();
        self.era = era;
        None
      }
      (_, Content::Read(record)) => {
        self.read_at = now;
        self.stored = record.known(era);
        self.era = record.era;
        Some(self.stored.clone())
      }
      (Call::Write { record, .. }, Content::Written) => {
        self.stored = record.known(record.era);
        self.era = record.era;
        None
      }
      (_, Content::Written | Content::Unknown) => None,
    }
  }
}

impl Planner {
  /// Reads the builds of the time before this instance knew all servers, if it has not; writes those
  /// of late if it holds the lease.
  pub(crate) fn sync_build_history(&mut self) {
    let now = self.hub.now();
    let in_touch = !self.other_instances(now).is_empty();
    let Some(lag_ms) = self.server_list_lag_ms(in_touch) else {
      return;
    };
    if lag_ms > super::MAX_LIST_LAG_MS {
      self.interrupt_build_watch();
    }
    if self.hub.state().streams.take_missed_past() {
      self.build_history.invalidate();
    }
    if lag_ms > super::MAX_LIST_LAG_MS {
      return;
    }
    let holding = self.groups.first().is_some_and(|group| group.holds_lease);
    let era = self.hub.gates.servers.progress().revision.era;
    let hub = &self.hub;
    let known = || hub.state().streams.known(now);
    if let Some(call) = self.build_history.call(now, holding, era, known) {
      self.start_record_call(self.kinds().builds, call, Completion::Builds);
    }
  }

  /// Handles that builds may have come and gone unseen.
  pub(crate) fn interrupt_build_watch(&self) {
    self.hub.apply(Event::BuildsUnwatched, None);
  }

  /// How far the list of servers is behind, in ms; `None` if it was never read.
  fn server_list_lag_ms(&self, in_touch: bool) -> Option<u64> {
    let age_ms = self.hub.gates.servers.age()?.as_millis() as u64;
    let store_age = self.hub.gates.reachability.age().filter(|_| in_touch);
    let store_age_ms = store_age.map_or(0, |age| age.as_millis() as u64);
    Some(age_ms.saturating_sub(store_age_ms))
  }

  /// Handles the result of a call that reads or writes the builds of the pools.
  pub(crate) fn finish_builds_call(
    &mut self,
    now: u64,
    call: &Call<Record>,
    result: Result<Object>,
  ) {
    if let Err(error) = &result
      && !matches!(error, Error::Absent { .. })
    {
      info!(self.hub.log, "failed to read or write the builds of the pools"; "error" => %error);
    }
    if let (Call::Write { record, .. }, Ok(object)) = (call, &result) {
      info!(self.hub.log, "builds of the pools written"; "builds" => record.builds.len(),
        "complete" => record.complete, "revision" => %object.revision);
    }
    let absent = matches!(result, Err(Error::Absent { .. }));
    let read = self.build_history.answered(now, call, result);
    if let Some(known) = read.or(absent.then(Known::default)) {
      info!(self.hub.log, "builds of the pools read"; "builds" => known.builds.len(),
        "complete" => known.complete);
      self.hub.apply(Event::BuildHistory(known), None);
    }
  }
}
