//! The builds that each pool has had lately, kept in the store for instances that start later: these
//! cannot know which builds left before their start.
//!
//! Each instance reads the record at its start, and after it has not known all servers for a while;
//! again if it was absent or incomplete. It also reads the servers that changed since the revision in
//! the record. The lease holder writes the record when a build joins, once a build can have no streams
//! any more, and regularly, so that the store's history reaches back to its revision: two calls for
//! each start of an instance and for each change of a build, 12 a minute.

use super::{Id, confirm::Server, streams::hash};
use crate::{
  dispatch::Event,
  edge::Edge,
  planner::{Completion, Planner},
  store::{Changes, Error, Object, Result, Revision},
  stored::{self, Call, Calls, Content},
};
use serde::{Deserialize, Serialize};
use slog::info;
use std::{collections::BTreeSet, time::Duration};

/// Pause before a record that is absent or incomplete is read again. After an upgrade from a
/// release without records, 295 instances make these calls for as long as a stream lasts.
const REREAD_MS: u64 = 2_000;

/// Interval in which the holder renews the revision in the record.
const RENEWAL_MS: u64 = 5_000;
/// Timeout of the watch, which only reads the changes so far.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1);

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
  /// Number of the revision in this era up to which the writer knew the servers. Earlier versions
  /// do not write it; their records count as complete without it.
  #[serde(default, skip_serializing_if = "Option::is_none")]
  pub servers: Option<u64>,
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
  /// Number of the servers' revision in the record.
  servers: Option<u64>,
  /// When this instance last wrote the record, in ms; `None` if it has not since it was invalidated.
  written_at: Option<u64>,
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
  fn new(era: u64, servers: Revision, known: Known) -> Self {
    let builds = known.builds.into_iter();
    Self {
      era,
      complete: known.complete,
      servers: (servers.era == era).then_some(servers.number),
      builds: builds
        .map(|(pool, build)| Entry::new(pool, build))
        .collect(),
    }
  }

  /// The revision since which servers may have changed, in an era of the store; `None` if the record
  /// is incomplete anyway, or names none.
  fn servers(&self, era: u64) -> Option<Revision> {
    let number = self.servers.filter(|_| self.complete && self.era == era)?;
    Some(Revision { era, number })
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
  /// Returns the next call if one is due. `known` returns what this instance knows, which includes the
  /// `servers` up to this revision.
  pub fn call(
    &mut self,
    now: u64,
    holding: bool,
    servers: Revision,
    known: impl Fn() -> Known,
  ) -> Option<Call<Record>> {
    let acquired = holding && !self.holding;
    self.holding = holding;
    let revision = self.calls.revision();
    // Another holder may have written the record, or an older copy may have replaced it.
    if acquired || revision.is_some_and(|revision| revision.era < servers.era) {
      self.calls.invalidate();
    }
    // A holder of the lease may have completed it since.
    let is_due = !holding && !self.stored.complete && now >= self.read_at + REREAD_MS;
    if is_due && revision.is_some() && !known().complete {
      self.calls.invalidate();
    }
    let (stored, stored_era) = (&self.stored, self.era);
    let is_old = self.written_at.is_none_or(|at| now >= at + RENEWAL_MS);
    let has_advanced = self.servers.is_none_or(|number| number < servers.number);
    self.calls.next(now, || {
      let era = revision?.era;
      let known = holding.then(&known)?;
      let is_current = stored_era == era && *stored == known;
      let is_renewed = known.complete && is_old && has_advanced;
      (!is_current || is_renewed).then(|| Record::new(era, servers, known))
    })
  }

  /// Has the record read again: builds may have come and gone unseen.
  pub fn invalidate(&mut self) {
    self.calls.invalidate();
    self.written_at = None;
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
        self.servers = None;
        None
      }
      (_, Content::Read(record)) => {
        self.read_at = now;
        self.stored = record.known(era);
        self.era = record.era;
        self.servers = record.servers;
        Some(self.stored.clone())
      }
      (Call::Write { record, .. }, Content::Written) => {
        self.stored = record.known(record.era);
        self.era = record.era;
        self.servers = record.servers;
        self.written_at = Some(now);
        None
      }
      (_, Content::Written | Content::Unknown) => None,
    }
  }
}

/// The servers that changed since the revision in a record.
#[derive(Debug)]
pub(crate) enum Since {
  /// The record names no revision, or was not read.
  Unnamed,
  Changed(Changes),
  /// The store no longer has the changes.
  Forgotten,
}

/// Reads the record, and the servers that changed since its revision.
fn read(edge: &Edge) -> Result<(Object, Since)> {
  let object = (edge.store.read)(edge.kinds.builds, stored::NAME)?;
  let record: Record = serde_json::from_value(object.spec.clone()).unwrap_or_default();
  let Some(revision) = record.servers(object.revision.era) else {
    return Ok((object, Since::Unnamed));
  };
  match (edge.store.watch)(edge.kinds.servers, revision, WATCH_TIMEOUT) {
    Ok(changes) if changes.revision.era == revision.era => Ok((object, Since::Changed(changes))),
    Ok(_) | Err(Error::HistoryGone) => Ok((object, Since::Forgotten)),
    Err(error) => Err(error),
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
    // The state has all changes up to this revision.
    let servers = self.hub.gates.servers.progress().revision;
    let hub = &self.hub;
    let known = || hub.state().streams.known(now);
    match self.build_history.call(now, holding, servers, known) {
      Some(Call::Read) => self.run_call(&self.calls, |edge| match read(edge) {
        Ok((object, since)) => Completion::Builds(Call::Read, Ok(object), since),
        Err(error) => Completion::Builds(Call::Read, Err(error), Since::Unnamed),
      }),
      Some(write) => self.start_record_call(self.kinds().builds, write, |call, result| {
        Completion::Builds(call, result, Since::Unnamed)
      }),
      None => {}
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
    since: Since,
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
    if let Some(mut known) = read.or(absent.then(Known::default)) {
      self.add_changes(&mut known, since);
      info!(self.hub.log, "builds of the pools read"; "builds" => known.builds.len(),
        "complete" => known.complete);
      self.hub.apply(Event::BuildHistory(known), None);
    }
  }

  /// Adds the builds of servers that joined since a record was written. Where the store has forgotten
  /// them, the record counts as it is: it was current until a holder was killed or cut off, and each
  /// stream beside one build would be refused for as long as one lasts.
  fn add_changes(&self, known: &mut Known, since: Since) {
    match since {
      Since::Changed(changes) => {
        let present = changes.objects.iter().filter(|(_, removed)| !removed);
        let servers = present.filter_map(|(object, _)| self.server(object));
        let stated = servers.filter(|(_, build)| *build != Id::UNKNOWN);
        let builds = stated.map(|(pool, build): Server| (hash(&pool), build));
        known.builds.extend(builds);
      }
      Since::Forgotten => {
        info!(
          self.hub.log,
          "store no longer has the servers since the builds of the pools"
        );
      }
      Since::Unnamed => {}
    }
  }
}
