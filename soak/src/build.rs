//! Streams of a service whose servers run several software versions.

use crate::{
  check::Bounds,
  history::{History, Resumption, Serving, Stream, Target},
};

/// Reason of a refusal where an instance does not know which version began a stream.
const VERSION_UNKNOWN: &str = "build-unknown";

/// A count out of a total.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Share {
  pub count: usize,
  pub total: usize,
}

impl Share {
  /// The count as a part of the total; zero if the total is zero.
  pub fn ratio(&self) -> f64 {
    self.count as f64 / self.total.max(1) as f64
  }

  fn add(&mut self, counts: bool) {
    self.total += 1;
    self.count += usize::from(counts);
  }
}

/// Shares of streams that instances without faults handled while at least two servers of their
/// software version served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Shares {
  /// Resumptions by callers that went on.
  pub resumed: Share,
  /// New streams that began.
  pub new: Share,
}

/// Returns the streams that hold events of several software versions.
pub fn joined(history: &History) -> Vec<&Stream> {
  let streams = history.streams.iter();
  streams.filter(|stream| stream.versions.len() > 1).collect()
}

/// Returns the streams that instances refused when their callers came back long after they broke, because
/// their version was not known, though all servers had one all along. The end of all instances does not
/// excuse that.
pub fn unknown_returns(history: &History) -> Vec<&Resumption> {
  if !has_one_version(history) {
    return Vec::new();
  }
  let returns = history.returns.iter();
  returns
    .filter(|one| {
      let is_unknown = one.reasons.iter().any(|reason| reason == VERSION_UNKNOWN);
      is_unknown && !history.had_incident(&Target::Store, one.at, one.ended)
    })
    .collect()
}

fn has_one_version(history: &History) -> bool {
  let mut versions = history.serving.iter().map(|one| &one.version);
  let first = versions.next();
  versions.all(|version| Some(version) == first)
}

pub fn shares(history: &History, bounds: &Bounds) -> Shares {
  let mut shares = Shares::default();
  // Beside two versions, those that began a stream may be known to nobody when its caller comes back.
  let returns = history.returns.iter().filter(|_| has_one_version(history));
  let resumptions = history.resumptions.iter().chain(returns);
  for resumption in resumptions.filter(|one| one.plain) {
    if is_counted(history, bounds, resumption) {
      shares.resumed.add(resumption.went_on);
    }
  }
  for stream in history.streams.iter().filter(|one| one.plain) {
    let times = (stream.at, stream.ended);
    let servers = serving(history, bounds, times).count();
    if servers > 1 && is_in_contact(history, bounds, stream.instance, times) {
      shares.new.add(!stream.versions.is_empty());
    }
  }
  shares
}

fn is_counted(history: &History, bounds: &Bounds, resumption: &Resumption) -> bool {
  let times = (resumption.at, resumption.ended);
  let servers = serving(history, bounds, times);
  let same = servers.filter(|one| one.version == resumption.version);
  let mut instances = resumption.instances.iter();
  same.count() > 1 && instances.all(|instance| is_in_contact(history, bounds, *instance, times))
}

/// Servers that serve without a fault, and that instances have had the time to learn of.
fn serving<'a>(
  history: &'a History,
  bounds: &Bounds,
  (from, to): (u64, u64),
) -> impl Iterator<Item = &'a Serving> {
  let known_from = from.saturating_sub(bounds.contact_ms);
  history.serving.iter().filter(move |one| {
    let target = Target::Server(one.server.clone());
    one.from <= known_from && one.to > to && !history.had_incident(&target, from, to)
  })
}

/// Whether neither the instance nor the store has had a recent fault.
fn is_in_contact(
  history: &History,
  bounds: &Bounds,
  instance: usize,
  (from, to): (u64, u64),
) -> bool {
  let from = from.saturating_sub(bounds.contact_ms);
  !history.had_incident(&Target::Instance(instance), from, to)
    && !history.had_incident(&Target::Store, from, to)
}
