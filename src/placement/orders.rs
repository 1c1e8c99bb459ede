//! A server's change of what it holds: its orders, what became of them, and questions
//! to the server in between.

use crate::{
  backend::Stage,
  command::{Act, Command, Inventory, Taken, Unheard},
  life::Life,
  placement::{
    models,
    plan::{ASK_MS, Effect, LAG_MS, Plan},
    server::{self, Held, Server, Step, by_key},
  },
  report::Tier,
};

/// Pause between an unload and the order that follows before one was seen, ms; and its
/// change after an order that met the unload, and after one that did not: one in twenty
/// does.
pub(crate) const UNLOAD_MS: f64 = 40.0;
const UNLOAD_UP_MS: f64 = 10.0;
const UNLOAD_DOWN_MS: f64 = 0.5;
/// An order that met an unload more often than this met one that waits for its runs, as that of
/// any server may at any time, and says nothing of others: while the first meeting of each
/// counted, the pause of a fleet in trouble came to 400 ms, and a load from a disk takes 600.
const MET_MOST: u32 = 4;
/// Pause before an order that met another one is sent again, ms.
const AGAIN_MS: u64 = 20;
/// Sends of an order that meets another one.
const AGAIN_MOST: u32 = 36;
/// After a load was taken as done the server is asked within this time, ms: its reports
/// show by then what it held at that moment.
const CHECK_MS: u64 = LAG_MS * 2;
/// A load may take this many times its estimate.
const LATE: u64 = 4;

/// What the plan learns of unloads from what became of an order.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Unload {
  Nothing,
  /// The order that followed found it done.
  Over,
  /// The order that followed after this pause, ms, found it under way, and soon after done.
  Met(u64),
}

impl Plan {
  /// Takes up what became of an order.
  pub fn record_order_result(&mut self, now: u64, command: &Command, taken: Taken) {
    self.now = now;
    // Orders of an earlier life are over with it.
    let Some(key) = self.living(command.life()) else {
      return;
    };
    let pool = self.servers[key].pool;
    let name = &command.model.name;
    let base = self.models.insert(pool, name, None);
    if let Some(adapter) = &command.model.adapter {
      let adapter = self.models.insert(pool, name, Some(adapter));
      self.change(key, |server, _| {
        server.adapter_ordered(now, (base, adapter), command, taken);
      });
      self.unpublished = true;
      return;
    }
    let unload_ms = self.unload_ms as u64;
    let learnt = self.change(key, |server, _| {
      server.ordered(now, (command, base), taken, unload_ms)
    });
    match learnt {
      Some(Unload::Over) => self.unload_ms = (self.unload_ms - UNLOAD_DOWN_MS).max(0.0),
      // Orders that go out together say the same once: each made the pause longer, and a burst
      // of 222 loads made it 1.3 s.
      Some(Unload::Met(paused)) => {
        self.unload_ms = self.unload_ms.max(paused as f64 + UNLOAD_UP_MS);
      }
      Some(Unload::Nothing) | None => {}
    }
  }

  /// Takes up a server's answer to a question.
  pub fn receive_inventory(&mut self, now: u64, id: &str, inventory: Result<Inventory, Unheard>) {
    self.now = now;
    let born = inventory.as_ref().map_or(0, |inventory| inventory.born);
    let life = Life::of(id, born);
    let Some(key) = self.ids.get(&life.server()).copied() else {
      return self.answered_gone(id, life, inventory);
    };
    let known = self.servers[key].spec.life();
    if known.ends(life) {
      // Said before the server started again: the question of its later life is open yet.
      return;
    }
    if life.ends(known) {
      self.change(key, |server, models| server.restart(born, models));
      self.unpublished = true;
    }
    let Ok(inventory) = inventory else {
      self.change(key, |server, _| {
        server.asking = false;
        server.unanswered(now);
      });
      return;
    };
    let under_way = self.remote_jobs;
    let loading = self.servers[key].remote_load();
    let changed = self.change(key, |server, models| {
      let models = by_key(server.pool, &inventory.models, models);
      server.answered(now, &inventory, models)
    });
    self.unpublished |= changed == Some(true);
    if let Some((model, began)) = loading
      && let Some(size) = self.models[model].size
    {
      let ended = self.servers[key].models.contains_key(&model);
      let stated = size.load_ms(Tier::Remote);
      self
        .remote
        .observe(now.saturating_sub(began), stated, under_way, ended);
    }
    self.keep_job(key);
  }

  /// A load from a near copy is taken as done when its time is over: a report would show
  /// it only after a lag. The server is asked later.
  fn take_as_done(&mut self, key: server::Key) {
    let now = self.now;
    self.change(key, |server, _| {
      if let Some(job) = server.job.take() {
        server.models.insert(job.model, Vec::new());
        server.used.insert(job.model, now);
        server.taken_as_done = Some((job.model, now + CHECK_MS));
      }
    });
    self.unpublished = true;
  }

  /// Goes on with a job after its server was asked again, where the load still finds
  /// room: an earlier order without answer may have been carried out meanwhile.
  fn keep_job(&mut self, key: server::Key) {
    let server = &self.servers[key];
    let Some(job) = &server.job else {
      return;
    };
    let Some(engine) = self.models.engine(server.pool) else {
      return;
    };
    if job.step == Step::Await || !server.synced {
      return;
    }
    let models = &self.models;
    let freed = job.victims.iter();
    let freed: u64 = freed.map(|model| server.memory_of(*model, models)).sum();
    let need = models[job.model].size.map(|size| size.memory_mb);
    let left = engine
      .memory_mb
      .saturating_sub(server.memory(models) - freed);
    let here = server.models.contains_key(&job.model);
    if !here && need.is_some_and(|need| need <= left) {
      return;
    }
    let why = format!("{left} MB left for {need:?} MB, or it is there");
    self.give_up(key, why);
  }

  /// Gives up a load that was not ordered yet.
  fn give_up(&mut self, key: server::Key, why: String) {
    let job = self.change(key, |server, _| {
      server.leaving.clear();
      server.job.take()
    });
    self.unpublished = true;
    if let Some(job) = job.flatten() {
      self.note("load given up", key, job.model, why);
    }
  }

  /// Asks a server what it holds, where that is due.
  pub(crate) fn sync(&mut self, key: server::Key) {
    let now = self.now;
    let Some(server) = self.servers.get(key) else {
      return;
    };
    let due = |(_, at): (models::Key, u64)| now >= at;
    if server.job.is_none() && server.taken_as_done.is_some_and(due) {
      // Unless the next load is under way, it is asked whether the last one is done.
      self.change(key, |server, _| {
        server.paced(true);
        server.synced = false;
      });
    }
    let server = &self.servers[key];
    let waiting = server.job.as_ref().is_some_and(|job| job.waiting);
    if server.synced || server.asking || waiting || now < server.rest_until || !server.engine {
      return;
    }
    self.ask(key);
  }

  fn ask(&mut self, key: server::Key) {
    self.change(key, |server, _| server.asking = true);
    let spec = &self.servers[key].spec;
    let effect = Effect::Query {
      id: spec.id.clone(),
      address: spec.address,
    };
    self.out.push(effect);
  }

  /// Goes on with a server's job.
  pub(crate) fn work(&mut self, key: server::Key) {
    let now = self.now;
    let Some(server) = self.servers.get(key) else {
      return;
    };
    let Some(job) = &server.job else {
      return;
    };
    let known = server.synced || job.step == Step::Await;
    let may = self.ordering || job.step == Step::Await;
    if job.waiting || now < job.due || !known || !may {
      return;
    }
    if job.step != Step::Await && server.spec.stage != Stage::Ready {
      return self.give_up(key, "server leaves".into());
    }
    if job.step == Step::Await && !job.remote {
      return self.take_as_done(key);
    }
    if job.step == Step::Await {
      self.change(key, |server, _| {
        server.job.iter_mut().for_each(|job| job.waiting = true);
      });
      return self.ask(key);
    }
    let (act, model) = match job.victims.first() {
      Some(victim) if job.step != Step::Load => (Act::Unload, *victim),
      _ => (Act::Load, job.model),
    };
    self.change(key, |server, _| {
      if let Some(job) = &mut server.job {
        job.waiting = true;
        job.step = match act {
          Act::Load => Step::Load,
          Act::Unload => Step::Unload,
        };
      }
    });
    self.send(key, act, model);
  }

  /// Orders a change of a model, or of an adapter.
  pub(crate) fn send(&mut self, key: server::Key, act: Act, model: models::Key) {
    let server = &self.servers[key];
    self.out.push(Effect::Order(Command {
      id: server.spec.id.clone(),
      born: server.spec.born,
      address: server.spec.address,
      act,
      model: self.models[model].model.clone(),
      orders: server.orders,
      holder: self.machine.clone(),
      term: self.term,
    }));
  }
}

impl Server {
  /// The load from the weight store that is under way, and when it began.
  fn remote_load(&self) -> Option<(models::Key, u64)> {
    let job = self.job.as_ref()?;
    (job.remote && job.step == Step::Await).then_some((job.model, job.began))
  }

  /// Takes up what became of the order of a model.
  fn ordered(
    &mut self,
    now: u64,
    (command, model): (&Command, models::Key),
    taken: Taken,
    unload_ms: u64,
  ) -> Unload {
    if taken == Taken::Accepted {
      self.orders = self.orders.max(command.orders + 1);
      self.paced(true);
    }
    if command.act == Act::Unload && matches!(taken, Taken::Accepted | Taken::Done) {
      self.unloaded(model);
    }
    let Some(mut job) = self.job.take() else {
      return Unload::Nothing;
    };
    job.waiting = false;
    let met = job.tries;
    let follows = job.step == Step::Load && job.unloaded;
    match (taken, job.step) {
      (Taken::Accepted | Taken::Done, Step::Unload) => {
        job.victims.retain(|victim| *victim != model);
        job.tries = 0;
        if job.victims.is_empty() {
          job.step = Step::Load;
        }
        job.unloaded = true;
        job.paused = unload_ms;
        job.due = now + unload_ms;
        self.job = Some(job);
        Unload::Nothing
      }
      (Taken::Accepted, Step::Load) => {
        let paused = job.paused;
        let took = match job.remote {
          true => job.until,
          false => (job.until as f64 * self.pace) as u64,
        };
        job.step = Step::Await;
        job.began = now;
        job.due = now + took;
        job.until = now + (took + LAG_MS) * LATE;
        self.job = Some(job);
        match met {
          _ if !follows => Unload::Nothing,
          0 => Unload::Over,
          _ if met <= MET_MOST => Unload::Met(paused),
          _ => Unload::Nothing,
        }
      }
      (Taken::Conflict, _) if job.tries < AGAIN_MOST => {
        job.tries += 1;
        self.paced(false);
        job.due = now + AGAIN_MS;
        self.job = Some(job);
        if self.tries() % 4 == 3 {
          // The count of orders may be another one.
          self.synced = false;
        }
        Unload::Nothing
      }
      _ => {
        self.recheck(now, taken);
        Unload::Nothing
      }
    }
  }

  /// A model has been unloaded, and its adapters with it.
  fn unloaded(&mut self, model: models::Key) {
    let adapters = self.models.remove(&model).unwrap_or_default();
    self.leaving.retain(|leaving| *leaving != model);
    self.used.remove(&model);
    for adapter in adapters {
      self.used.remove(&adapter);
    }
  }

  /// Takes up what the server says that it holds; whether that is news.
  fn answered(&mut self, now: u64, inventory: &Inventory, models: Held) -> bool {
    self.asking = false;
    self.silent = 0;
    let first = !self.synced;
    if inventory.orders < self.orders {
      // Older than the last order.
      self.rest_until = self.rest_until.max(now + ASK_MS);
      if let Some(job) = &mut self.job {
        job.waiting = false;
        job.due = now + ASK_MS;
      }
      return false;
    }
    self.synced = true;
    // A load that is under way is not named: where it is none of this job, it is one of an
    // earlier holder, from before its entry went, or one that was taken as done too early.
    self.heard = !inventory.busy || self.heard && self.job.is_some();
    self.orders = inventory.orders;
    let Some(mut job) = self.job.take() else {
      let news = (first || !inventory.busy) && self.models != models;
      if first || !inventory.busy {
        self.models = models;
      }
      if inventory.busy {
        self.rest_until = now + ASK_MS;
        self.synced = false;
      }
      return news;
    };
    job.waiting = false;
    if job.step != Step::Await {
      self.models = models;
      job.tries += 1;
      if !inventory.busy {
        let held = &self.models;
        job.victims.retain(|victim| held.contains_key(victim));
        if job.victims.is_empty() && job.step == Step::Unload {
          job.step = Step::Load;
        }
        self.job = Some(job);
        return true;
      }
      // What is under way takes room that is not known of yet.
      match job.tries < AGAIN_MOST {
        true => self.job = Some(job),
        false => self.leaving.clear(),
      }
      self.synced = false;
      self.rest_until = now + ASK_MS;
      return true;
    }
    let done = models.contains_key(&job.model);
    if done && !inventory.busy {
      self.models = models;
      self.used.insert(job.model, now);
      return true;
    }
    if now >= job.until || !inventory.busy && now >= job.due + LAG_MS * 2 {
      self.models = models;
      return true;
    }
    job.due = now + ASK_MS;
    self.job = Some(job);
    false
  }
}
