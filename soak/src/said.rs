//! Compares what servers announce in responses with the requests that reach them afterwards.

use crate::history::{Arrival, Backoff, FROZEN, History, Request, STOPPED, Target};
use std::collections::{BTreeMap, HashMap};

/// A request to a server from an instance that had already relayed the server's departure notice.
#[derive(Clone, Copy, Debug)]
pub struct LateArrival<'a> {
  pub arrival: &'a Arrival,
  pub after_ms: u64,
}

fn requests_by_id(history: &History) -> HashMap<&str, &Request> {
  let requests = history.requests.iter();
  requests.map(|one| (one.id.as_str(), one)).collect()
}

/// Whether an instance was restarted or frozen between two times, so that its state may be lost.
fn may_have_lost_state(history: &History, instance: usize, from: u64, to: u64) -> bool {
  let target = Target::Instance(instance);
  let mut incidents = history.incidents.iter();
  incidents.any(|incident| {
    let loses_state = matches!(incident.cause, FROZEN | STOPPED | "kill");
    loses_state && incident.target == target && incident.from <= to && incident.to >= from
  })
}

/// Returns the last request of each instance to each server after a response with the server's
/// departure notice.
pub fn last_arrivals_after_departure(history: &History) -> Vec<LateArrival<'_>> {
  let requests = requests_by_id(history);
  let mut last: BTreeMap<(&str, usize), LateArrival> = BTreeMap::new();
  for departure in &history.departures {
    let notice_times = |instance: usize| {
      let answers = history.requests.iter();
      let answers = answers.filter(move |one| {
        one.instance == instance
          && one.server.as_ref() == Some(&departure.server)
          // A request sent earlier may have a response that was started before the notice.
          && one.at >= departure.from
      });
      answers.map(|one| one.ended)
    };
    let arrivals = history.arrivals.iter();
    for arrival in arrivals.filter(|one| one.server == departure.server) {
      let Some(request) = requests.get(arrival.id.as_str()) else {
        continue;
      };
      let remembered = notice_times(request.instance).filter(|time| {
        *time <= arrival.at && !may_have_lost_state(history, request.instance, *time, arrival.at)
      });
      let Some(first) = remembered.min() else {
        continue;
      };
      let after_ms = arrival.at - first;
      let entry = last.entry((&departure.server, request.instance));
      let entry = entry.or_insert(LateArrival { arrival, after_ms });
      if after_ms > entry.after_ms {
        *entry = LateArrival { arrival, after_ms };
      }
    }
  }
  last.into_values().collect()
}

/// Returns each backoff with the number of requests that its receiver sent during it. Requests
/// within `in_flight_ms` of its start are not counted, since they may have been in flight.
pub fn requests_in_backoffs(history: &History, in_flight_ms: u64) -> Vec<(&Backoff, usize)> {
  let requests = requests_by_id(history);
  let instance = |id: &str| requests.get(id).map(|request| request.instance);
  let backoffs = history.backoffs.iter();
  let backoffs = backoffs.filter_map(|backoff| {
    let receiver = instance(&backoff.id)?;
    if history.had_incident(&Target::Instance(receiver), backoff.from, backoff.to) {
      return None;
    }
    let within = backoff.from + in_flight_ms..backoff.to;
    let arrivals = history.arrivals.iter();
    let received = arrivals.filter(|one| {
      one.server == backoff.server
        && within.contains(&one.at)
        && instance(&one.id) == Some(receiver)
    });
    Some((backoff, received.count()))
  });
  backoffs.collect()
}
