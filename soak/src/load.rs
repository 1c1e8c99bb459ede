//! Callers: they send requests of all kinds and write down how each ended.

use crate::history::{Book, End, Kind, Sent};
use platform_stand_in::{
  client::{self, Answer, Ask},
  deployment::MODELS,
  runner::{EVENTS, event, whole},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
  net::{SocketAddr, TcpStream},
  sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
  },
  thread,
  time::Duration,
};

/// Mean pause of a caller between two requests, ms.
const PAUSE_MS: u64 = 60;
/// Factor of a burst.
const BURST: u64 = 6;
/// Callers that leave before their answer, in hundredths.
const LEAVE: u32 = 3;
/// Requests after which a caller takes a new connection, at most.
const REQUESTS: u32 = 12;

/// What callers share with the world.
pub struct Traffic {
  pub book: Arc<Book>,
  /// Where each instance is called, and whether a balancer would send there.
  pub instances: Vec<(SocketAddr, AtomicBool)>,
  /// Bursts under way.
  pub bursts: AtomicU64,
  /// Factor on the deadline that callers state: 1, but for a check that must notice.
  pub patience: u64,
  pub over: AtomicBool,
}

/// Calls one instance until the traffic is over.
pub fn call(traffic: &Traffic, instance: usize, caller: usize, seed: u64) {
  let mut rng = SmallRng::seed_from_u64(seed ^ (instance as u64 * 1_000 + caller as u64));
  let mut kept: Option<(TcpStream, u32)> = None;
  let mut number = 0;
  while !traffic.over.load(Ordering::Relaxed) {
    let burst = 1 + traffic.bursts.load(Ordering::Relaxed) * BURST;
    thread::sleep(Duration::from_millis(
      rng.random_range(1..=PAUSE_MS * 2) / burst,
    ));
    let (address, ready) = &traffic.instances[instance];
    if !ready.load(Ordering::Relaxed) {
      kept = None;
      continue;
    }
    number += 1;
    let kind = kind(&mut rng);
    let id = format!("r-{instance}-{caller}-{number}");
    let model = model(&mut rng, kind);
    let leaves = rng.random_ratio(LEAVE, 100);
    let reused = kept.is_some();
    let at = traffic.book.now();
    let stated = kind.deadline_ms() * traffic.patience;
    let Outcome {
      end,
      foreign,
      server,
      kept: stream,
    } = send(kept.take(), *address, kind, &id, &model, (stated, leaves));
    kept = stream.filter(|(_, requests)| *requests < REQUESTS);
    let ended = traffic.book.now();
    let sent = Sent {
      id,
      kind,
      instance,
      reused,
      at,
      ended,
      end,
      foreign,
      server,
    };
    traffic.book.note(|history| history.sent.push(sent));
  }
}

fn kind(rng: &mut SmallRng) -> Kind {
  match rng.random_range(0..100) {
    0..25 => Kind::Once,
    25..50 => Kind::Again,
    50..75 => Kind::Stream,
    75..90 => Kind::Single,
    _ => Kind::Batch,
  }
}

/// Some models are asked for often, the others rarely.
fn model(rng: &mut SmallRng, kind: Kind) -> Option<String> {
  let drawn: usize = rng.random_range(0..100);
  let often = match drawn {
    0..80 => drawn % 2,
    _ => 2 + drawn % (MODELS.len() - 2),
  };
  match kind {
    Kind::Once | Kind::Again => None,
    Kind::Batch => Some(MODELS[drawn % MODELS.len()].into()),
    Kind::Stream | Kind::Single if drawn.is_multiple_of(5) => Some(format!("{}/a1", MODELS[often])),
    Kind::Stream | Kind::Single => Some(MODELS[often].into()),
  }
}

type Kept = Option<(TcpStream, u32)>;

/// What came of a request.
struct Outcome {
  end: End,
  foreign: Option<String>,
  server: Option<String>,
  kept: Kept,
}

/// A request that got no answer to read.
fn unanswered(end: End) -> Outcome {
  Outcome {
    end,
    foreign: None,
    server: None,
    kept: None,
  }
}

fn send(
  kept: Kept,
  address: SocketAddr,
  kind: Kind,
  id: &str,
  model: &Option<String>,
  (deadline_ms, leaves): (u64, bool),
) -> Outcome {
  let (stream, requests) = match kept {
    Some(kept) => kept,
    None => match TcpStream::connect(address) {
      Ok(stream) => (stream, 0),
      Err(_) => return unanswered(End::Unreached),
    },
  };
  let mut stream = stream;
  let path = format!("/{}/x", kind.route());
  let ask = Ask {
    method: "POST",
    path: &path,
    id,
    model: model.as_deref(),
    deadline_ms,
    headers: &[],
    body: "body",
  };
  // A connection that has ended is noticed when the answer is read.
  let _ = client::write(&mut stream, &ask);
  if leaves {
    return unanswered(End::Left);
  }
  let Some(answer) = client::read(&mut stream, "POST") else {
    return unanswered(End::Closed);
  };
  let keeps = answer.whole && answer.keeps();
  let end = end(kind, id, &answer);
  let foreign = (end == End::Success { own: false }).then(|| answer.text());
  Outcome {
    end,
    foreign,
    server: answer.server(),
    kept: keeps.then_some((stream, requests + 1)),
  }
}

fn end(kind: Kind, id: &str, answer: &Answer) -> End {
  if !answer.whole {
    return End::Cut;
  }
  if answer.status == 200 {
    let body = match kind {
      Kind::Stream | Kind::Single => (1..=EVENTS).map(|number| event(id, number)).collect(),
      _ => whole(id),
    };
    let own = answer.signed() && answer.text() == body;
    return End::Success { own };
  }
  End::Failure {
    status: answer.status,
    signed: answer.signed(),
  }
}
