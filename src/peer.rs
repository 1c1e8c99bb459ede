//! Calls between instances, made with tonic. No other module has an async runtime.

use crate::{
  claim::{Change, Outcome},
  event::{Call, Delta, Event},
  notice::Notice,
  wire::{
    self,
    peer_client::PeerClient,
    peer_server::{Peer, PeerServer},
  },
};
use prost::Message;
use std::{
  collections::HashMap,
  net::SocketAddr,
  sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicU64, Ordering},
  },
  time::Duration,
};
use tokio::sync::oneshot;
use tonic::{
  Request, Response, Status,
  transport::{Channel, Endpoint, Server},
};

/// Timeout of a call to another instance.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout of a claim call, which includes a platform write.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(5_000);
/// Number of threads of the async runtime.
const RUNTIME_THREADS: usize = 2;

/// Receives the events for the reducer.
pub type Sink = Arc<dyn Fn(Event) + Send + Sync>;

enum Waiter {
  Delta(oneshot::Sender<Delta>),
  Claims(oneshot::Sender<Vec<Outcome>>),
}

#[derive(Default)]
struct Waiters {
  last_call: u64,
  pending: HashMap<Call, Waiter>,
}

/// Number of messages sent to other instances, and bytes sent and received, without framing.
#[derive(Debug, Default)]
pub struct Traffic {
  pub sent: AtomicU64,
  pub received: AtomicU64,
  pub messages: AtomicU64,
}

impl Traffic {
  fn record_sent(&self, message: &impl Message) {
    self.messages.fetch_add(1, Ordering::Relaxed);
    let length = message.encoded_len() as u64;
    self.sent.fetch_add(length, Ordering::Relaxed);
  }

  fn record_received(&self, message: &impl Message) {
    let length = message.encoded_len() as u64;
    self.received.fetch_add(length, Ordering::Relaxed);
  }
}

/// The peer port of this instance, with the clients for other instances.
pub struct Port {
  runtime: tokio::runtime::Runtime,
  clients: Arc<Mutex<HashMap<String, PeerClient<Channel>>>>,
  waiters: Arc<Mutex<Waiters>>,
  sink: Sink,
  traffic: Arc<Traffic>,
  instance: String,
  boot: u64,
  /// Bound address.
  pub address: SocketAddr,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
  mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Service {
  traffic: Arc<Traffic>,
  waiters: Arc<Mutex<Waiters>>,
  sink: Sink,
}

impl Service {
  fn register_call(&self, waiter: Waiter) -> Call {
    let mut waiters = lock(&self.waiters);
    waiters.last_call += 1;
    let call = Call(waiters.last_call);
    waiters.pending.insert(call, waiter);
    call
  }

  async fn await_response<T>(
    &self,
    call: Call,
    receiver: oneshot::Receiver<T>,
    timeout: Duration,
  ) -> Result<T, Status> {
    let response = tokio::time::timeout(timeout, receiver).await;
    lock(&self.waiters).pending.remove(&call);
    match response {
      Ok(Ok(response)) => Ok(response),
      _ => Err(Status::deadline_exceeded("no answer")),
    }
  }
}

#[tonic::async_trait]
impl Peer for Service {
  async fn exchange(&self, request: Request<wire::Delta>) -> Result<Response<wire::Delta>, Status> {
    let delta = request.into_inner();
    self.traffic.record_received(&delta);
    let delta = from_wire(delta);
    let (sender, receiver) = oneshot::channel();
    let call = self.register_call(Waiter::Delta(sender));
    (self.sink)(Event::Exchange { call, delta });
    let delta = to_wire(self.await_response(call, receiver, CALL_TIMEOUT).await?);
    self.traffic.record_sent(&delta);
    Ok(Response::new(delta))
  }

  async fn notify(
    &self,
    request: Request<wire::Notice>,
  ) -> Result<Response<wire::Receipt>, Status> {
    let notice = request.into_inner();
    self.traffic.record_received(&notice);
    let items = notice.items.iter().filter_map(|item| Notice::decode(item));
    (self.sink)(Event::Notified {
      from: notice.from,
      items: items.collect(),
    });
    Ok(Response::new(wire::Receipt {}))
  }

  async fn claim(&self, request: Request<wire::Claims>) -> Result<Response<wire::Claims>, Status> {
    let claims = request.into_inner();
    self.traffic.record_received(&claims);
    let changes: Result<Vec<Change>, _> = claims
      .items
      .iter()
      .map(|item| postcard::from_bytes(item))
      .collect();
    let changes = changes.map_err(|error| Status::invalid_argument(error.to_string()))?;
    let (sender, receiver) = oneshot::channel();
    let call = self.register_call(Waiter::Claims(sender));
    (self.sink)(Event::ClaimsRequested {
      call,
      shard: claims.shard,
      changes,
    });
    let outcomes = self.await_response(call, receiver, CLAIM_TIMEOUT).await?;
    Ok(Response::new(wire::Claims {
      items: encode(&outcomes),
      ..wire::Claims::default()
    }))
  }
}

fn encode<T: serde::Serialize>(items: &[T]) -> Vec<Vec<u8>> {
  let encoded = items.iter().map(postcard::to_stdvec);
  encoded.map(Result::unwrap_or_default).collect()
}

fn from_wire(delta: wire::Delta) -> Delta {
  Delta {
    from: delta.from,
    boot: delta.boot,
    seen: delta.seen,
    upto: delta.upto,
    facts: delta.facts,
    buckets: delta.buckets,
  }
}

fn to_wire(delta: Delta) -> wire::Delta {
  wire::Delta {
    from: delta.from,
    boot: delta.boot,
    seen: delta.seen,
    upto: delta.upto,
    facts: delta.facts,
    buckets: delta.buckets,
  }
}

impl Port {
  /// Binds the peer port and serves other instances.
  pub fn bind(
    address: &str,
    instance: &str,
    boot: u64,
    traffic: Arc<Traffic>,
    sink: Sink,
  ) -> std::io::Result<Self> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
      .worker_threads(RUNTIME_THREADS)
      .thread_name("peer")
      .enable_all()
      .build()?;
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let waiters = Arc::new(Mutex::new(Waiters::default()));
    let service = Service {
      traffic: traffic.clone(),
      waiters: waiters.clone(),
      sink: sink.clone(),
    };
    let incoming = {
      let _runtime = runtime.enter();
      let listener = tokio::net::TcpListener::from_std(listener)?;
      tonic::transport::server::TcpIncoming::from(listener).with_nodelay(Some(true))
    };
    let server = Server::builder()
      .add_service(PeerServer::new(service))
      .serve_with_incoming(incoming);
    runtime.spawn(server);
    Ok(Self {
      runtime,
      clients: Arc::default(),
      waiters,
      sink,
      traffic,
      instance: instance.into(),
      boot,
      address,
    })
  }

  fn client(&self, address: &str) -> Option<PeerClient<Channel>> {
    let mut clients = lock(&self.clients);
    if let Some(client) = clients.get(address) {
      return Some(client.clone());
    }
    let _runtime = self.runtime.enter();
    let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
    let endpoint = endpoint.connect_timeout(CALL_TIMEOUT).tcp_nodelay(true);
    let client = PeerClient::new(endpoint.connect_lazy());
    clients.insert(address.into(), client.clone());
    Some(client)
  }

  /// Exchanges facts with a neighbour.
  pub fn exchange(&self, peer: String, address: &str, delta: Delta) {
    let Some(mut client) = self.client(address) else {
      (self.sink)(Event::Exchanged { peer, delta: None });
      return;
    };
    let sink = self.sink.clone();
    let traffic = self.traffic.clone();
    self.runtime.spawn(async move {
      let delta = to_wire(delta);
      traffic.record_sent(&delta);
      let result = tokio::time::timeout(CALL_TIMEOUT, client.exchange(delta)).await;
      let delta = match result {
        Ok(Ok(response)) => {
          let delta = response.into_inner();
          traffic.record_received(&delta);
          Some(from_wire(delta))
        }
        _ => None,
      };
      sink(Event::Exchanged { peer, delta });
    });
  }

  /// Sends notices to an instance.
  pub fn notify(&self, address: &str, items: &[Notice]) {
    let Some(mut client) = self.client(address) else {
      return;
    };
    let notice = wire::Notice {
      from: self.instance.clone(),
      boot: self.boot,
      items: items.iter().map(Notice::encode).collect(),
    };
    self.traffic.record_sent(&notice);
    self.runtime.spawn(async move {
      // Notices are soft state: a lost one is sent again.
      let _ = tokio::time::timeout(CALL_TIMEOUT, client.notify(notice)).await;
    });
  }

  /// Sends claim changes to the owner of their shard.
  pub fn claim(&self, address: &str, shard: u32, group: u64, changes: &[Change]) {
    let Some(mut client) = self.client(address) else {
      (self.sink)(Event::ClaimAnswered {
        shard,
        group,
        outcomes: None,
      });
      return;
    };
    let claims = wire::Claims {
      from: self.instance.clone(),
      boot: self.boot,
      shard,
      items: encode(changes),
    };
    self.traffic.record_sent(&claims);
    let sink = self.sink.clone();
    self.runtime.spawn(async move {
      let result = tokio::time::timeout(CLAIM_TIMEOUT, client.claim(claims)).await;
      let outcomes = match result {
        Ok(Ok(response)) => decode_outcomes(&response.into_inner()),
        _ => None,
      };
      sink(Event::ClaimAnswered {
        shard,
        group,
        outcomes,
      });
    });
  }

  /// Responds to a neighbour's exchange.
  pub fn answer(&self, call: Call, delta: Delta) {
    if let Some(Waiter::Delta(waiter)) = lock(&self.waiters).pending.remove(&call) {
      let _ = waiter.send(delta);
    }
  }

  /// Responds to another instance's claim changes.
  pub fn answer_claims(&self, call: Call, outcomes: Vec<Outcome>) {
    if let Some(Waiter::Claims(waiter)) = lock(&self.waiters).pending.remove(&call) {
      let _ = waiter.send(outcomes);
    }
  }

  /// Stops the runtime without waiting for pending calls.
  pub fn close(self) {
    self.runtime.shutdown_background();
  }
}

fn decode_outcomes(claims: &wire::Claims) -> Option<Vec<Outcome>> {
  let decoded = claims.items.iter().map(|item| postcard::from_bytes(item));
  decoded.collect::<Result<_, _>>().ok()
}
