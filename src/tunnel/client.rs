//! Opens tunnels to backend servers through other instances.

use super::{ASK, CHECK_TIMEOUT, MAX_HEAD_BYTES, OPEN, SERVER_CONNECT_TIMEOUT, STATUS_UNREACHABLE};
use crate::{
  clock::Moment,
  http::{Framing, Headers, Request, Response},
  hub::{Hub, lock},
  liveness::Liveness,
  socket::{Fill, Socket},
};
use rand::seq::SliceRandom;
use slog::info;
use std::{
  io,
  net::{Ipv4Addr, SocketAddr, UdpSocket},
  sync::{
    Mutex,
    atomic::{AtomicU64, Ordering},
  },
  time::Duration,
};

/// Timeout for connecting to another instance, which accepts within a few milliseconds.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time limits for another instance's answer, which include what it waits for the server.
const OPEN_TIMEOUT: Duration = SERVER_CONNECT_TIMEOUT.saturating_mul(2);
const ASK_TIMEOUT: Duration = CHECK_TIMEOUT.saturating_add(SERVER_CONNECT_TIMEOUT);
/// Maximum number of instances that are tried for one request.
const MAX_TRIES: usize = 4;
/// How long an instance that carries no tunnels is not tried again.
const AVOID: Duration = Duration::from_millis(1_000);
/// Time within which instances are asked whether a server runs, in ms: a complete response waits.
const ASK_MS: u64 = 1_000;

/// Why no tunnel was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
  /// No other instance carries tunnels now.
  NoPeer,
  /// Other instances that reach servers cannot connect to this one.
  Unreachable,
}

#[derive(Clone, Copy, Debug)]
struct Peer {
  address: SocketAddr,
  /// Not tried before this time.
  avoid_until: Option<Moment>,
}

/// The other instances, by the addresses at which they carry tunnels.
#[derive(Debug, Default)]
pub(crate) struct Peers {
  known: Mutex<Vec<Peer>>,
  /// When a tunnel was last opened, in ms; 0 if none was.
  last_opened: AtomicU64,
}

impl Peers {
  /// Sets the addresses; what is known of those that remain is kept.
  pub(crate) fn set(&self, addresses: impl Iterator<Item = SocketAddr>) {
    let mut peers = lock(&self.known);
    let known = std::mem::take(&mut *peers);
    peers.extend(addresses.map(|address| {
      let peer = known.iter().find(|peer| peer.address == address).copied();
      peer.unwrap_or(Peer {
        address,
        avoid_until: None,
      })
    }));
  }

  /// Sends a datagram to all of them; returns the last error.
  pub(crate) fn send(&self, bytes: &[u8]) -> io::Result<()> {
    let socket = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0))?;
    let mut result = Ok(());
    for peer in lock(&self.known).iter() {
      if let Err(error) = socket.send_to(bytes, peer.address) {
        result = Err(error);
      }
    }
    result
  }

  /// Addresses to try now, in random order.
  fn candidates(&self) -> Vec<SocketAddr> {
    let now = Moment::now();
    let peers = lock(&self.known);
    let usable = peers
      .iter()
      .filter(|peer| peer.avoid_until.is_none_or(|until| until <= now));
    let mut addresses: Vec<SocketAddr> = usable.map(|peer| peer.address).collect();
    addresses.shuffle(&mut rand::rng());
    addresses.truncate(MAX_TRIES);
    addresses
  }

  /// Whether another instance has carried a tunnel within the last `ms`.
  pub(crate) fn carried_within(&self, now: u64, ms: u64) -> bool {
    let opened = self.last_opened.load(Ordering::Relaxed);
    opened > 0 && now < opened + ms
  }

  fn avoid(&self, address: SocketAddr) {
    let mut peers = lock(&self.known);
    let peer = peers.iter_mut().find(|peer| peer.address == address);
    if let Some(peer) = peer {
      peer.avoid_until = Some(Moment::now() + AVOID);
    }
  }
}

/// What a tunnel is opened for.
pub(crate) struct Target<'a> {
  /// Id of the server.
  pub(crate) server: &'a str,
  pub(crate) address: SocketAddr,
  /// Id of the request.
  pub(crate) request: &'a str,
  /// Time at which the request times out, in ms on the hub's clock.
  pub(crate) deadline: u64,
}

/// Opens a tunnel to a server. Returns the connection and the instance that carries it.
pub(crate) fn open(hub: &Hub, target: &Target) -> Result<(Socket, SocketAddr), Failure> {
  let mut failure = Failure::NoPeer;
  for peer in hub.peers.candidates() {
    if hub.now() >= target.deadline {
      break;
    }
    match call(hub, peer, OPEN, target) {
      Ok((socket, 200)) => {
        hub.peers.last_opened.store(hub.now(), Ordering::Relaxed);
        return Ok((socket, peer));
      }
      Ok((_, STATUS_UNREACHABLE)) => failure = Failure::Unreachable,
      Ok(_) | Err(_) => hub.peers.avoid(peer),
    }
  }
  Err(failure)
}

/// Asks other instances whether a server runs, first the one whose tunnel was used.
pub(crate) fn ask(hub: &Hub, target: &Target, first: Option<SocketAddr>) -> Liveness {
  let others = hub.peers.candidates();
  let others = others.into_iter().filter(|peer| Some(*peer) != first);
  let until = target.deadline.min(hub.now() + ASK_MS);
  for peer in first.into_iter().chain(others) {
    if hub.now() >= until {
      break;
    }
    match call(hub, peer, ASK, target) {
      Ok((_, 200)) => return Liveness::Running,
      Ok((_, STATUS_UNREACHABLE)) => return Liveness::Ended,
      Ok(_) => {}
      Err(error) => {
        info!(hub.log, "instance does not say whether a server runs"; "server" => target.server,
          "instance" => %peer, "error" => %error);
      }
    }
  }
  Liveness::Unknown
}

/// Calls an instance. Returns the connection and the status of the answer.
fn call(hub: &Hub, peer: SocketAddr, method: &str, target: &Target) -> io::Result<(Socket, u16)> {
  let mut socket = Socket::connect(peer, PEER_CONNECT_TIMEOUT)?;
  let timeout = if method == ASK {
    ASK_TIMEOUT
  } else {
    OPEN_TIMEOUT
  };
  let until = Moment::now() + timeout;
  socket.write_all(&encode(hub, method, target), until)?;
  loop {
    let parsed = Response::parse(&socket.input).map_err(|error| io::Error::other(error.0))?;
    if let Some((head, length)) = parsed {
      socket.input.drain(..length);
      return Ok((socket, head.status));
    }
    let closed = socket.fill_by(until)? == Fill::Eof;
    if closed || socket.input.len() > MAX_HEAD_BYTES {
      return Err(io::ErrorKind::InvalidData.into());
    }
  }
}

fn encode(hub: &Hub, method: &str, target: &Target) -> Vec<u8> {
  let mut head = Request {
    method: method.into(),
    target: target.address.to_string(),
    minor: 1,
    headers: Headers::default(),
  };
  let dialect = &hub.dialect;
  let remaining_ms = target.deadline.saturating_sub(hub.now()).max(1);
  head.headers.set(dialect.expected_server, target.server);
  head.headers.set(dialect.request_id, target.request);
  head
    .headers
    .set(dialect.deadline_ms, &remaining_ms.to_string());
  head.encode(Framing::Empty)
}
