//! One place for a server, and the faults of servers.

use super::{World, faults::sever, lock};
use crate::{history::Target, plan::Server, switch::Break};
use platform_stand_in::{
  deployment::MODELS,
  runner::{Mood, Runner},
  store::Store,
};
use stand_ins::proxy::{Fault as ProxyFault, Proxy};
use std::{
  io,
  sync::{
    Mutex,
    atomic::{AtomicU32, Ordering},
  },
  thread,
  time::Duration,
};

/// Time from a crash to the removal of a server's entry.
pub(super) const LAPSE: Duration = Duration::from_millis(800);
/// A server serves on for this long after its entry has gone.
const SERVES_ON: Duration = Duration::from_millis(2_500);
/// How long the delay fault holds each piece that passes.
const DELAY: Duration = Duration::from_millis(40);

/// One place for a server: its proxy, and who is behind it now.
pub(super) struct Place {
  proxy: Proxy,
  service: &'static str,
  pub runner: Mutex<Runner>,
  starts: AtomicU32,
}

impl Place {
  pub(super) fn open(store: &Store, number: usize, engines: usize) -> io::Result<Self> {
    // The proxy's target is set once the server listens.
    let proxy = Proxy::bind(store.address)?;
    let (service, id) = match number < engines {
      true => ("models", format!("m{number}.0")),
      false => ("plain", format!("p{number}.0")),
    };
    let models = [MODELS[number % 2], MODELS[2 + number % 4]];
    let held: &[&str] = if service == "models" { &models } else { &[] };
    let runner = behind(store, &proxy, &id, service, held);
    Ok(Self {
      proxy,
      service,
      runner: Mutex::new(runner),
      starts: AtomicU32::new(0),
    })
  }
}

impl World {
  pub(super) fn server(&self, number: usize, fault: Server, lasts: Duration) {
    let place = &self.places[number];
    let mut runner = lock(&place.runner);
    let trouble = self.book.begin(Target::Server(runner.id.clone()), "server");
    let mood = self.mood();
    match fault {
      Server::Crash => self.crash(place, &mut runner, lasts),
      Server::Restart => self.restart(place, &mut runner, lasts),
      Server::Drain => self.drain(place, &mut runner, true),
      Server::Vanish => self.drain(place, &mut runner, false),
      Server::Cut(cut) => sever(&place.proxy, cut, lasts),
      Server::Delay => delay(&place.proxy, lasts),
      Server::Slow => {
        let work = mood.work * 10;
        feel(&runner, Mood { work, ..mood }, mood, lasts);
      }
      Server::Fails => feel(&runner, Mood { fail: 40, ..mood }, mood, lasts),
      Server::Declines => feel(
        &runner,
        Mood {
          decline: 40,
          ..mood
        },
        mood,
        lasts,
      ),
      Server::LosesAnswers => feel(&runner, Mood { lose: 20, ..mood }, mood, lasts),
      Server::BreaksStreams => feel(&runner, Mood { cut: 30, ..mood }, mood, lasts),
      Server::Says => {
        runner.leave();
        thread::sleep(lasts);
        self.drain(place, &mut runner, true);
      }
      Server::Rest(tenths) => {
        let seconds = f64::from(tenths) / 10.0;
        runner.rest(Some(&seconds.to_string()));
        thread::sleep(lasts);
        runner.rest(None);
      }
      Server::Limit(in_ten_seconds) => {
        runner.limit(Some(f64::from(in_ten_seconds) / 10.0));
        thread::sleep(lasts);
        runner.limit(None);
      }
      Server::OrdersLate => {
        self.late.store(true, Ordering::Relaxed);
        feel(&runner, Mood { late: 50, ..mood }, mood, lasts);
      }
    }
    self.book.end(trouble);
  }

  /// The server crashes, and another one comes at its address.
  fn crash(&self, place: &Place, runner: &mut Runner, lasts: Duration) {
    runner.end();
    self.gone(&runner.id);
    place.proxy.fault(ProxyFault::Refuse);
    thread::sleep(LAPSE);
    self.store.remove("servers", &runner.id);
    thread::sleep(lasts);
    place.proxy.fault(ProxyFault::None);
    self.replace(place, runner);
  }

  /// The server crashes and starts again under its id and address, while its entry stays.
  fn restart(&self, place: &Place, runner: &mut Runner, lasts: Duration) {
    runner.end();
    place.proxy.fault(ProxyFault::Refuse);
    thread::sleep(lasts);
    place.proxy.fault(ProxyFault::None);
    let id = runner.id.clone();
    *runner = behind(&self.store, &place.proxy, &id, place.service, &[]);
    runner.mood(self.mood());
    lock(&self.runners).push(runner.clone());
  }

  /// The server leaves, with a word or without, and another one comes.
  fn drain(&self, place: &Place, runner: &mut Runner, word: bool) {
    let at = self.book.now();
    let id = runner.id.clone();
    if self.broken != Some(Break::Leave) {
      match word {
        true => runner.beat("draining"),
        false => self.remove(&id),
      }
    }
    self.book.note(|history| history.drained.push((id, at)));
    thread::sleep(SERVES_ON * 2);
    self.remove(&runner.id);
    runner.end();
    place.proxy.cut();
    self.replace(place, runner);
  }

  /// Its entry goes for good.
  fn remove(&self, id: &str) {
    self.store.remove("servers", id);
    self.gone(id);
  }

  fn gone(&self, id: &str) {
    let at = self.book.now();
    self
      .book
      .note(|history| history.gone.push((id.to_string(), at)));
  }

  fn replace(&self, place: &Place, runner: &mut Runner) {
    let start = place.starts.fetch_add(1, Ordering::Relaxed);
    let name = runner.id.split('.').next().unwrap_or_default();
    let id = format!("{name}.{}", start + 1);
    *runner = behind(&self.store, &place.proxy, &id, place.service, &[]);
    runner.mood(self.mood());
    lock(&self.runners).push(runner.clone());
  }
}

fn feel(runner: &Runner, mood: Mood, after: Mood, lasts: Duration) {
  runner.mood(mood);
  thread::sleep(lasts);
  runner.mood(after);
}

fn delay(proxy: &Proxy, lasts: Duration) {
  proxy.fault(ProxyFault::Delay(DELAY));
  thread::sleep(lasts);
  proxy.fault(ProxyFault::None);
}

fn behind(store: &Store, proxy: &Proxy, id: &str, service: &str, models: &[&str]) -> Runner {
  Runner::start_behind(store, id, service, models, |address| {
    proxy.retarget(address);
    proxy.address
  })
}
