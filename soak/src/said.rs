//! What servers say in their answers against what came to them afterwards, as they saw it.

use crate::history::{Arrival, FROZEN, History, Rest, STOPPED, Sent, Target};
use std::collections::{BTreeMap, HashMap};

/// A request that came to a server after its instance had passed on that the server leaves.
#[derive(Clone, Copy, Debug)]
pub struct After<'a> {
  pub arrival: &'a Arrival,
  pub after_ms: u64,
}

fn by_id(history: &History) -> HashMap<&str, &Sent> {
  let sent = history.sent.iter();
  sent.map(|one| (one.id.as_str(), one)).collect()
}

/// Whether an instance was started again or stood still between two times: it may have forgotten.
fn forgot(history: &History, instance: usize, from: u64, to: u64) -> bool {
  let target = Target::Instance(instance);
  let mut troubles = history.troubles.iter();
  troubles.any(|trouble| {
    let forgets = matches!(trouble.what, FROZEN | STOPPED | "kill");
    forgets && trouble.target == target && trouble.from <= to && trouble.to >= from
  })
}

/// The last request of each instance to each server after the answer that said that it leaves.
pub fn after_leaving(history: &History) -> Vec<After<'_>> {
  let sent = by_id(history);
  let mut last: BTreeMap<(&str, usize), After> = BTreeMap::new();
  for leaver in &history.leavers {
    let told = |instance: usize| {
      let answers = history.sent.iter();
      let answers = answers.filter(move |one| {
        one.instance == instance
          && one.server.as_ref() == Some(&leaver.server)
          // Begun before, its answer may have been too.
          && one.at >= leaver.from
      });
      answers.map(|one| one.ended)
    };
    let arrivals = history.arrivals.iter();
    for arrival in arrivals.filter(|one| one.server == leaver.server) {
      let Some(sent) = sent.get(arrival.id.as_str()) else {
        continue;
      };
      let remembered = told(sent.instance)
        .filter(|told| *told <= arrival.at && !forgot(history, sent.instance, *told, arrival.at));
      let Some(told) = remembered.min() else {
        continue;
      };
      let after_ms = arrival.at - told;
      let entry = last.entry((&leaver.server, sent.instance));
      let entry = entry.or_insert(After { arrival, after_ms });
      if after_ms > entry.after_ms {
        *entry = After { arrival, after_ms };
      }
    }
  }
  last.into_values().collect()
}

/// Rests, with the requests that the instance which was asked for rest sent in them, but for those
/// that may have crossed the answer, ms.
pub fn in_rests(history: &History, crossing_ms: u64) -> Vec<(&Rest, usize)> {
  let sent = by_id(history);
  let instance = |id: &str| sent.get(id).map(|sent| sent.instance);
  let rests = history.rests.iter();
  let rests = rests.filter_map(|rest| {
    let asked = instance(&rest.id)?;
    if history.troubled(&Target::Instance(asked), rest.from, rest.to) {
      return None;
    }
    let within = rest.from + crossing_ms..rest.to;
    let arrivals = history.arrivals.iter();
    let got = arrivals.filter(|one| {
      one.server == rest.server && within.contains(&one.at) && instance(&one.id) == Some(asked)
    });
    Some((rest, got.count()))
  });
  rests.collect()
}
