//! Planned stops of instances whose callers keep their connections.

use bendsaddle::http::{Decoder, Response};
use serde_json::json;
use stand_ins::fleet::{Fleet, Plan, wait_for};
use std::{
  io::{Read, Write},
  net::TcpStream,
  sync::atomic::{AtomicUsize, Ordering},
  thread,
  time::Duration,
};

/// Callers that send one request after the other.
const CALLERS: usize = 20;
/// Time that they send requests for before the stop.
const LEAD: Duration = Duration::from_millis(500);
/// Tokens of a response.
const TOKENS: u32 = 5;

static REQUESTS: AtomicUsize = AtomicUsize::new(0);

/// A response; whether its connection can be used again.
struct Answer {
  status: u16,
  keep_alive: bool,
}

/// Sends a request on a connection and reads the response; `None` if it does not arrive in full.
fn exchange(stream: &mut TcpStream, prompt: &str) -> Option<Answer> {
  let body = json!({ "model": "contracts", "prompt": prompt, "max_tokens": TOKENS }).to_string();
  let head = format!(
    "POST /v1/completions HTTP/1.1\r\nhost: h\r\ncontent-length: {}\r\n\r\n",
    body.len()
  );
  stream.write_all((head + &body).as_bytes()).ok()?;
  let mut input = Vec::new();
  let mut bytes = [0; 4096];
  let mut read = |input: &mut Vec<u8>| {
    let length = stream.read(&mut bytes).ok().filter(|length| *length > 0)?;
    input.extend_from_slice(&bytes[..length]);
    Some(())
  };
  let head = loop {
    if let Some((head, length)) = Response::parse(&input).ok()? {
      input.drain(..length);
      break head;
    }
    read(&mut input)?;
  };
  let mut decoder = Decoder::new(head.framing("POST").ok()?);
  let mut body = Vec::new();
  loop {
    decoder.decode(&mut input, &mut body).ok()?;
    if decoder.is_complete() {
      break;
    }
    read(&mut input)?;
  }
  Some(Answer {
    status: head.status,
    keep_alive: head.keep_alive(),
  })
}

/// Requests without a complete response: their prompts, and whether an earlier request on the
/// connection got one.
type Cut = Vec<(String, bool)>;

/// Sends one request after the other, on one connection while the responses allow it, until nobody
/// listens any more. Returns the number of complete answers, of refusals, and what was cut.
fn keep_sending(address: &str) -> (usize, usize, Cut) {
  let (mut whole, mut refused, mut cut) = (0, 0, Vec::new());
  let mut kept: Option<TcpStream> = None;
  loop {
    let is_kept = kept.is_some();
    let Some(mut stream) = kept.take().or_else(|| TcpStream::connect(address).ok()) else {
      return (whole, refused, cut);
    };
    let prompt = format!("prompt {}", REQUESTS.fetch_add(1, Ordering::Relaxed));
    let Some(answer) = exchange(&mut stream, &prompt) else {
      cut.push((prompt, is_kept));
      continue;
    };
    match answer.status {
      200 => whole += 1,
      _ => refused += 1,
    }
    kept = answer.keep_alive.then_some(stream);
    if answer.status != 200 {
      thread::sleep(Duration::from_millis(20));
    }
  }
}

// The next request of each caller was cut at the exit, since no response had said that its connection
// would be closed.
#[test]
fn callers_that_keep_their_connections_lose_no_request_to_a_stop() {
  let mut fleet: Fleet = Plan::default()
    .program(env!("CARGO_BIN_EXE_bendsaddle"))
    .engines(1, |_| {})
    .policy("all", json!({ "keepAlive": { "fixed": 60_000 } }))
    .model("contracts", 200)
    .start()
    .unwrap();
  let address = fleet.callers(0).to_string();
  let mut first = TcpStream::connect(&address).unwrap();
  wait_for("the model is loaded", || {
    let mut stream = TcpStream::connect(&address).unwrap();
    exchange(&mut stream, "first").is_some_and(|answer| answer.status == 200)
  });
  exchange(&mut first, "second").unwrap();
  let callers: Vec<_> = (0..CALLERS)
    .map(|_| {
      let address = address.clone();
      thread::spawn(move || keep_sending(&address))
    })
    .collect();
  thread::sleep(LEAD);
  fleet.members[0].signal("-TERM");
  assert!(fleet.members[0].wait());
  let ends: Vec<_> = callers
    .into_iter()
    .map(|caller| caller.join().unwrap())
    .collect();
  let whole: usize = ends.iter().map(|end| end.0).sum();
  let refused: usize = ends.iter().map(|end| end.1).sum();
  let cut: Cut = ends.into_iter().flat_map(|end| end.2).collect();
  let runs = fleet.engines[0].runs();
  let ran = |prompt: &str| runs.iter().any(|run| run.prompt == prompt);
  let lost = cut.iter().filter(|(prompt, _)| ran(prompt)).count();
  let closed = cut.iter().filter(|(_, kept)| *kept).count();
  println!(
    "{whole} whole, {refused} refused, {} cut: {lost} ran, {closed} on kept connections",
    cut.len()
  );
  assert_eq!((lost, closed), (0, 0));
}
