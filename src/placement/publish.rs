//! What is published to instances about the servers' holdings.

use super::{
  plan::{Effect, Plan},
  server,
};
use crate::{backend::Holding, message::Unanswered, pace::Published, samples::model_hash};
use std::{collections::BTreeMap, net::SocketAddr};

/// Interval of publications that state the loads and show that there is a lease holder, ms.
pub(crate) const PUBLISH_INTERVAL_MS: u64 = 500;
/// Changes that are this close together are published together, ms.
pub(super) const MIN_PUBLISH_INTERVAL_MS: u64 = 10;
/// Holdings sent in one step to instances that lack changes: all holdings of 3,000 servers sent to
/// 300 instances at once take 515 MB.
const MAX_RESYNC_HOLDINGS: usize = 8_000;

/// Changes of holdings to send to other instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Publication {
  /// `None` for all instances.
  pub to: Option<SocketAddr>,
  /// The holdings are those changed after change `since` and up to change `latest`, or all holdings
  /// if `since` is 0.
  pub since: u64,
  pub latest: u64,
  /// Each with the number of its change, in that order.
  pub holdings: Vec<(u64, Holding)>,
  /// Running requests of servers that have any, by the short hash of the server's life.
  pub loads: Option<Vec<(u32, u16)>>,
  /// Paces of servers that have changed, and of some others in turn.
  pub paces: Vec<Published>,
  /// Number of requests that wait for the models of a server, published with the loads.
  pub waiting: Vec<(u32, u16)>,
  /// Loads that may still be carried out, published with the loads; `None` if not included.
  pub unanswered: Option<Vec<Unanswered>>,
}

impl Plan {
  /// Sets the minimum time between publications of changes, ms. It depends on what a publication
  /// costs.
  pub fn set_publish_interval(&mut self, interval_ms: u64) {
    self.publish_interval_ms = interval_ms.max(MIN_PUBLISH_INTERVAL_MS);
  }

  /// Publishes in the next step, even if nothing has changed.
  pub fn request_publish(&mut self) {
    self.publish_pending = true;
  }

  pub(crate) fn publish(&mut self) {
    let elapsed = self.now.saturating_sub(self.published_at);
    let due = self.publish_pending || elapsed >= PUBLISH_INTERVAL_MS;
    if !due || elapsed < self.publish_interval_ms {
      return;
    }
    let loads_due = self.now >= self.loads_published_at + PUBLISH_INTERVAL_MS;
    self.published_at = self.now;
    self.publish_pending = false;
    let since = self.changes;
    let dirty = std::mem::take(&mut self.dirty);
    dirty.into_iter().for_each(|key| self.record_change(key));
    let loads = loads_due.then(|| self.server_loads());
    if loads_due {
      self.loads_published_at = self.now;
    }
    let unanswered = loads_due.then(|| self.unanswered_loads());
    let paces = self.due_paces();
    if self.changes > since {
      self.publications.push_back((self.now, self.changes));
    }
    self.publish_since(None, since, loads, paces);
    if let (true, Some(Effect::Publish(publication))) = (loads_due, self.effects.last_mut()) {
      publication.unanswered = unanswered;
    }
    self.resync();
  }

  /// Assigns a number to the change of a server's holding, if the holding has changed.
  fn record_change(&mut self, key: server::Key) {
    let Some(server) = self.servers.get_mut(key).filter(|server| server.synced) else {
      return;
    };
    let holding = server.holding(&self.models);
    if server.published.as_ref() == Some(&holding) {
      return;
    }
    self.changed_servers.remove(&server.change_number);
    self.changes += 1;
    server.change_number = self.changes;
    server.published = Some(holding);
    self.changed_servers.insert(self.changes, key);
    // The last instance receives the change when the whole publication has been sent.
    let sent = self.now + self.publish_interval_ms - MIN_PUBLISH_INTERVAL_MS;
    self.change(key, |server, _| server.schedule_unload(sent));
    self.dirty.remove(&key);
  }

  /// Sends instances the changes that they lack, once for each report that shows it; those resynced
  /// longest ago come first. Sending more would lose datagrams on their links, and with them the
  /// changes that they wait for.
  fn resync(&mut self) {
    let members = self
      .members
      .iter()
      .filter(|(_, member)| member.lacks_changes);
    let mut lagging: Vec<(u64, SocketAddr)> = members
      .map(|(address, member)| (member.resynced_at, *address))
      .collect();
    lagging.sort();
    let mut remaining = MAX_RESYNC_HOLDINGS;
    for (_, address) in lagging {
      let (now, changes) = (self.now, self.changes);
      let Some(member) = self.members.get_mut(&address) else {
        continue;
      };
      // A number above the newest one is from an earlier term.
      let since = if member.known <= changes {
        member.known
      } else {
        0
      };
      let lacking = self.changed_servers.range(since + 1..).count();
      if lacking > remaining && remaining < MAX_RESYNC_HOLDINGS {
        break;
      }
      remaining = remaining.saturating_sub(lacking);
      member.lacks_changes = false;
      member.resynced_at = now;
      let paces = match since {
        0 => self.known_paces(),
        _ => Vec::new(),
      };
      self.publish_since(Some(address), since, None, paces);
    }
  }

  fn publish_since(
    &mut self,
    to: Option<SocketAddr>,
    since: u64,
    loads: Option<Vec<(u32, u16)>>,
    paces: Vec<Published>,
  ) {
    let changed = self.changed_servers.range(since + 1..);
    let holdings = changed.filter_map(|(number, key)| {
      let published = self.servers.get(*key)?.published.clone()?;
      Some((*number, published))
    });
    let waiting = match &loads {
      Some(_) => self.server_waiting(),
      None => Vec::new(),
    };
    let publication = Publication {
      to,
      waiting,
      since,
      latest: self.changes,
      holdings: holdings.collect(),
      loads,
      paces,
      unanswered: None,
    };
    self.effects.push(Effect::Publish(publication));
  }

  /// Requests of all instances that wait although a server holds their model, by server.
  fn server_waiting(&self) -> Vec<(u32, u16)> {
    let mut waiting: BTreeMap<u32, u32> = BTreeMap::new();
    if !self.features.bounded_sends {
      return Vec::new();
    }
    for need in &self.needs {
      let base = self.models[need.model].base;
      for server in &self.models[base].holders {
        let id = self.servers[*server].spec.life().short_hash();
        *waiting.entry(id).or_default() += need.waiting;
      }
    }
    let bounded = |count: u32| count.min(u32::from(u16::MAX)) as u16;
    waiting
      .into_iter()
      .map(|(id, count)| (id, bounded(count)))
      .collect()
  }

  /// Loads that servers may still carry out although their orders got no answer.
  fn unanswered_loads(&self) -> Vec<Unanswered> {
    let mut loads = Vec::new();
    for server in self.servers.values() {
      let models = server.unanswered.keys();
      let open = models.filter(|model| server.may_load(self.now, **model));
      loads.extend(open.map(|model| {
        let entry = &self.models[*model];
        Unanswered {
          server: server.spec.life().short_hash(),
          model: model_hash(&self.models.pool(entry.pool).name, &entry.model.name),
        }
      }));
    }
    loads
  }

  fn server_loads(&self) -> Vec<(u32, u16)> {
    let servers = self.servers.values();
    let loads = servers.map(|server| (server.spec.life(), server.running_total()));
    let nonzero = loads.filter(|(_, load)| *load > 0);
    nonzero
      .map(|(life, load)| (life.short_hash(), load.min(u32::from(u16::MAX)) as u16))
      .collect()
  }
}
