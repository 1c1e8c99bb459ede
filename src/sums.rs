//! Sums of the units that customers used within their last windows, which outlast their holder.
//!
//! A holder publishes them twice a second, and adds them to each record of the lease. The next holder
//! opens its accounts from those that it received last. One that has just started knows only those
//! in the record, so the others send it what they received. What is known to nobody but the killed holder
//! was reserved in the record (`quota`).

use crate::{dispatch::Event, message::Message, planner::Planner, quota::Sums};
use serde_json::{Value, json};
use slog::info;
use std::net::SocketAddr;

/// Interval at which sums of used units are published.
const SUMS_INTERVAL_MS: u64 = 500;
/// How long sums published by the last holder take precedence over those in the store.
const SUMS_FRESH_MS: u64 = 10_000;
/// Field of the lease's record that contains the sums.
const SUMS_FIELD: &str = "sums";
/// How long the sums of a former holder are sent to its successor, with each report.
const FORMER_SENT_MS: u64 = 1_200;

/// Units used within the last window.
#[derive(Clone, Debug)]
pub(crate) struct Known {
  /// Time to which they refer, in ms; for those in a record, when it was read.
  pub as_of: u64,
  pub sums: Sums,
  /// Whether a holder published them; otherwise they are from a record of the lease.
  pub published: bool,
}

impl Planner {
  /// Returns the units of quotas used within their last windows, as counted by this holder; `None`
  /// if they are not due to be published, or if this instance does not hold the lease any more and
  /// gets no reports. Empty sums are published too, so that the next holder knows that nothing was
  /// used.
  pub(crate) fn due_sums(&mut self, now: u64) -> Option<Sums> {
    let holds_lease = self.groups.first().is_some_and(|group| group.holds_lease);
    if !holds_lease || now < self.next_sums_publish_at {
      return None;
    }
    self.next_sums_publish_at = now + SUMS_INTERVAL_MS;
    let allowances = self.allowances();
    let sums = self.accounts.published_sums(now, |id| allowances.get(id));
    // The others count on these sums, also if the next holder is this instance.
    self.receive_sums(now, sums.clone());
    Some(sums)
  }

  /// Stores the sums that a holder has published.
  pub(crate) fn receive_sums(&mut self, now: u64, sums: Sums) {
    self.hub.apply(Event::QuotaUsage(sums.clone()), None);
    let published = Known {
      as_of: now,
      sums,
      published: true,
    };
    self.known_sums = Some(published);
  }

  /// Adds the sums to a record of the lease: after a loss of all instances they are not known
  /// anywhere else.
  pub(crate) fn with_sums(&mut self, now: u64, mut record: Value) -> Value {
    let holds_lease = self.groups.first().is_some_and(|group| group.holds_lease);
    let allowances = self.allowances();
    if !holds_lease || !allowances.deployed {
      // This replaces a record that nobody else may remember.
      let former = self.recorded_sums.as_ref();
      if let (Some(fields), Some(former)) = (record.as_object_mut(), former) {
        fields.insert(SUMS_FIELD.into(), json!(former.sums));
      }
      return record;
    }
    // The others are to know it too.
    self.next_sums_publish_at = 0;
    let sums = self.accounts.start_record(now, |id| allowances.get(id));
    if let Some(fields) = record.as_object_mut() {
      fields.insert(SUMS_FIELD.into(), json!(sums));
    }
    record
  }

  /// Applies the sums in a record of the lease that was read, unless sums were received from a
  /// holder recently.
  pub(crate) fn read_sums(&mut self, now: u64, record: &Value) {
    if self.read_record.as_ref() == Some(record) {
      // It is no newer for being read again.
      return;
    }
    self.read_record = Some(record.clone());
    // A record of another writer or of an earlier release has no sums.
    let sums = record.get(SUMS_FIELD);
    let sums = sums.and_then(|sums| serde_json::from_value::<Sums>(sums.clone()).ok());
    self.recorded_sums = sums.map(|sums| Known {
      as_of: now,
      sums,
      published: false,
    });
    let is_fresh = |known: &Known| known.published && now < known.as_of + SUMS_FRESH_MS;
    if self.known_sums.as_ref().is_some_and(is_fresh) {
      return;
    }
    if let Some(read) = self.recorded_sums.clone() {
      self.hub.apply(Event::QuotaUsage(read.sums.clone()), None);
      self.known_sums = Some(read);
    }
  }

  /// Keeps the sums that the former holder published last, for its successor.
  pub(crate) fn keep_former_sums(&mut self, now: u64) {
    let published = self.known_sums.clone().filter(|known| known.published);
    self.former_sums = published.map(|known| (now, known));
    self.next_uses_report_at = now;
  }

  /// Sends a holder the sums that the one before it published: a holder that has just started knows only
  /// those in the lease's record, which are older.
  pub(crate) fn send_former_sums(&self, now: u64, holder: SocketAddr) {
    let former = self.former_sums.as_ref();
    let Some((_, known)) = former.filter(|(since, _)| now < since + FORMER_SENT_MS) else {
      return;
    };
    let message = Message::FormerSums {
      age_ms: (now - known.as_of) as u32,
      sums: known.sums.clone(),
    };
    self.send(&message, &[holder]);
  }

  /// Receives the sums that another instance got from the former holder.
  pub(crate) fn receive_former_sums(&mut self, now: u64, age_ms: u32, sums: &Sums) {
    let holds_lease = self.groups.first().is_some_and(|group| group.holds_lease);
    if !holds_lease {
      return;
    }
    let as_of = now.saturating_sub(age_ms.into());
    let allowances = self.allowances();
    let added = self
      .accounts
      .add_former(now, as_of, sums, |id| allowances.get(id));
    if added > 0.0 {
      info!(self.hub.log, "former sums added"; "units" => added as u64, "age_ms" => age_ms);
    }
  }
}
