//! What instances are sent of the servers' holdings.

use super::{
  plan::{Effect, Plan},
  server,
};
use crate::backend::Holding;
use std::net::SocketAddr;

/// Loads, and that there is a holder, are published this often, ms.
pub(crate) const PUBLISH_MS: u64 = 500;
/// Changes are published together when they come this close, ms.
pub(super) const PUBLISH_LEAST_MS: u64 = 10;
/// Holdings sent in one step to instances that lack changes: all of 3,000 servers sent
/// to 300 instances at once take 515 MB.
const RESYNC_HOLDINGS: usize = 8_000;

/// An update of holdings for other instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Publication {
  /// None: all instances.
  pub to: Option<SocketAddr>,
  /// Holdings that changed between these counts; from 0: all holdings.
  pub since: u64,
  pub latest: u64,
  /// Each with the count of its change, in that order.
  pub holdings: Vec<(u64, Holding)>,
  /// Requests at servers that have some, by their lives' short names.
  pub loads: Vec<(u32, u16)>,
}

impl Plan {
  /// Changes are published no closer than this, ms: what it costs decides.
  pub fn set_publish_interval(&mut self, pause: u64) {
    self.pause = pause.max(PUBLISH_LEAST_MS);
  }

  /// Publishes at the next step, changed or not.
  pub fn request_publish(&mut self) {
    self.unpublished = true;
  }

  pub(crate) fn publish(&mut self) {
    let since = self.now.saturating_sub(self.published_at);
    let due = self.unpublished || since >= PUBLISH_MS;
    if !due || since < self.pause {
      return;
    }
    let due_loads = since >= PUBLISH_MS;
    self.published_at = self.now;
    self.unpublished = false;
    let since = self.changes;
    let dirty = std::mem::take(&mut self.dirty);
    dirty.into_iter().for_each(|key| self.note_change(key));
    let loads = match due_loads {
      true => self.loads(),
      false => Vec::new(),
    };
    if self.changes > since {
      self.published.push_back((self.now, self.changes));
    }
    self.publish_since(None, since, loads);
    self.resync();
  }

  /// Counts a change of a server's holding, where there is one.
  fn note_change(&mut self, key: server::Key) {
    let Some(server) = self.servers.get_mut(key).filter(|server| server.synced) else {
      return;
    };
    let holding = server.holding(&self.models);
    if server.published.as_ref() == Some(&holding) {
      return;
    }
    self.changed.remove(&server.changed);
    self.changes += 1;
    server.changed = self.changes;
    server.published = Some(holding);
    self.changed.insert(self.changes, key);
    // The last instance hears of it when all that is published has gone out.
    let heard = self.now + self.pause - PUBLISH_LEAST_MS;
    self.change(key, |server, _| server.heard_to_leave(heard));
    self.dirty.remove(&key);
  }

  /// Sends instances the changes that they lack, once for each report that shows it,
  /// those first that were sent such longest ago. More would lose datagrams on their
  /// links, and with them the changes that they wait for.
  fn resync(&mut self) {
    let members = self.members.iter().filter(|(_, member)| member.behind);
    let mut behind: Vec<(u64, SocketAddr)> = members
      .map(|(address, member)| (member.resynced, *address))
      .collect();
    behind.sort();
    let mut left = RESYNC_HOLDINGS;
    for (_, address) in behind {
      let (now, changes) = (self.now, self.changes);
      let Some(member) = self.members.get_mut(&address) else {
        continue;
      };
      // A count beyond the newest one is of an earlier term.
      let since = if member.known <= changes {
        member.known
      } else {
        0
      };
      let lacking = self.changed.range(since + 1..).count();
      if lacking > left && left < RESYNC_HOLDINGS {
        break;
      }
      left = left.saturating_sub(lacking);
      member.behind = false;
      member.resynced = now;
      self.publish_since(Some(address), since, Vec::new());
    }
  }

  fn publish_since(&mut self, to: Option<SocketAddr>, since: u64, loads: Vec<(u32, u16)>) {
    let changed = self.changed.range(since + 1..);
    let holdings = changed.filter_map(|(count, key)| {
      let published = self.servers.get(*key)?.published.clone()?;
      Some((*count, published))
    });
    let holdings = Publication {
      to,
      since,
      latest: self.changes,
      holdings: holdings.collect(),
      loads,
    };
    self.out.push(Effect::Publish(holdings));
  }

  fn loads(&self) -> Vec<(u32, u16)> {
    let servers = self.servers.values();
    let loads = servers.map(|server| (server.spec.life(), server.load()));
    let some = loads.filter(|(_, load)| *load > 0);
    some
      .map(|(life, load)| (life.short(), load.min(u32::from(u16::MAX)) as u16))
      .collect()
  }
}
