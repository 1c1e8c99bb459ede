//! A TCP proxy that injects faults.

use crate::reservation::{self, Reservation};
use bendsaddle::web::listen;
use socket2::SockRef;
use std::{
  collections::HashMap,
  io::{self, Read, Write},
  net::{Shutdown, SocketAddr, TcpListener, TcpStream},
  sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicBool, AtomicU64, Ordering},
  },
  thread,
  time::Duration,
};

/// The fault injected into connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
  /// Forward everything.
  #[default]
  None,
  /// Close the listener, so that connects are refused.
  Refuse,
  /// Delay each chunk before forwarding it.
  Delay(Duration),
  /// Accept and discard all data in both directions; nothing is forwarded.
  Hold,
  /// Close immediately after accepting.
  Close,
  /// Forward this many bytes of the request, then close.
  CutRequest(usize),
  /// Forward the request, then close before the response.
  LoseAnswer,
  /// Forward this many bytes of the response, then close.
  CutAnswer(usize),
}

struct Inner {
  target: Mutex<SocketAddr>,
  fault: Mutex<Fault>,
  /// Number of further connections that get the fault. Later ones are not affected.
  remaining: AtomicU64,
  open: Mutex<HashMap<u64, [TcpStream; 2]>>,
  connections: AtomicU64,
  closing: AtomicBool,
  /// Whether a connection that its target resets is reset, and not closed.
  passes_resets: AtomicBool,
  /// Whether forwarding is paused towards the target, and from it.
  paused: [AtomicBool; 2],
}

/// Interval between checks whether a paused direction has resumed.
const PAUSE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A running proxy.
#[derive(Clone)]
pub struct Proxy {
  inner: Arc<Inner>,
  /// Keeps the port while the listener is closed.
  _reservation: Arc<Reservation>,
  pub address: SocketAddr,
}

impl Inner {
  /// Registers an open connection. A connection that was accepted before `Refuse` was set and
  /// registers after it is closed: otherwise it would forward in spite of the fault.
  fn register(&self, number: u64, streams: [TcpStream; 2]) {
    let mut open = lock(&self.open);
    if *lock(&self.fault) == Fault::Refuse {
      close(&streams);
    }
    open.insert(number, streams);
  }
}

fn close(streams: &[TcpStream; 2]) {
  for stream in streams {
    // A connection that has already ended needs no shutdown.
    let _ = stream.shutdown(Shutdown::Both);
  }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
  mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Proxy {
  /// Binds a proxy that forwards to `target`.
  pub fn bind(target: SocketAddr) -> io::Result<Self> {
    let reservation = reservation::bind()?;
    let address = reservation.address;
    let listener = listen(&address.to_string())?;
    let inner = Arc::new(Inner {
      target: Mutex::new(target),
      fault: Mutex::default(),
      remaining: AtomicU64::new(0),
      open: Mutex::default(),
      connections: AtomicU64::new(0),
      closing: AtomicBool::new(false),
      passes_resets: AtomicBool::new(false),
      paused: Default::default(),
    });
    let served = inner.clone();
    thread::spawn(move || accept(&served, listener, address));
    Ok(Self {
      inner,
      _reservation: Arc::new(reservation),
      address,
    })
  }

  /// Injects a fault into all new connections until the next call. `Refuse` also closes the open
  /// ones.
  pub fn fault(&self, fault: Fault) {
    self.inner.remaining.store(u64::MAX, Ordering::SeqCst);
    *lock(&self.inner.fault) = fault;
    if fault == Fault::Refuse {
      self.close_connections();
      // Wakes the accept loop, so that it closes the listener.
      while TcpStream::connect(self.address).is_ok() {
        thread::sleep(Duration::from_millis(1));
      }
    }
  }

  /// Injects a fault into the next `connections` connections only.
  pub fn fault_next(&self, fault: Fault, connections: u64) {
    *lock(&self.inner.fault) = fault;
    self.inner.remaining.store(connections, Ordering::SeqCst);
  }

  /// Pauses or resumes forwarding towards the target (`up`) and from it (`down`). Open connections
  /// stay open.
  pub fn pause(&self, up: bool, down: bool) {
    self.inner.paused[0].store(up, Ordering::SeqCst);
    self.inner.paused[1].store(down, Ordering::SeqCst);
  }

  /// Resets connections that their target resets, from now on.
  pub fn pass_resets(&self) {
    self.inner.passes_resets.store(true, Ordering::SeqCst);
  }

  /// Closes every open connection.
  pub fn close_connections(&self) {
    lock(&self.inner.open).values().for_each(close);
  }

  /// Changes the target of new connections.
  pub fn retarget(&self, target: SocketAddr) {
    *lock(&self.inner.target) = target;
  }

  /// Number of accepted connections.
  pub fn connections(&self) -> u64 {
    self.inner.connections.load(Ordering::SeqCst)
  }
}

fn accept(inner: &Arc<Inner>, listener: TcpListener, address: SocketAddr) {
  let mut listener = Some(listener);
  while !inner.closing.load(Ordering::Relaxed) {
    if *lock(&inner.fault) == Fault::Refuse {
      listener = None;
      thread::sleep(Duration::from_millis(5));
      continue;
    }
    let Some(current) = &listener else {
      listener = listen(&address.to_string()).ok();
      continue;
    };
    let Ok((client, _)) = current.accept() else {
      continue;
    };
    if *lock(&inner.fault) == Fault::Refuse {
      continue;
    }
    let number = inner.connections.fetch_add(1, Ordering::SeqCst);
    let inner = inner.clone();
    thread::spawn(move || {
      forward(&inner, client, number);
      lock(&inner.open).remove(&number);
    });
  }
}

fn take_fault(inner: &Inner) -> Fault {
  let fault = *lock(&inner.fault);
  let decrement = |remaining: u64| remaining.checked_sub(1);
  let taken = inner
    .remaining
    .fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement);
  if taken.is_ok() { fault } else { Fault::None }
}

fn forward(inner: &Arc<Inner>, client: TcpStream, number: u64) {
  let fault = take_fault(inner);
  let target = *lock(&inner.target);
  if fault == Fault::Close {
    return;
  }
  let Ok(server) = TcpStream::connect(target) else {
    return;
  };
  let _ = client.set_nodelay(true);
  let _ = server.set_nodelay(true);
  let (up, down) = match fault {
    Fault::Delay(time) => (Pass::Delay(time), Pass::Delay(time)),
    Fault::Hold => (Pass::Discard, Pass::Discard),
    Fault::CutRequest(bytes) => (Pass::Cut(bytes), Pass::All),
    Fault::LoseAnswer => (Pass::All, Pass::Cut(0)),
    Fault::CutAnswer(bytes) => (Pass::All, Pass::Cut(bytes)),
    Fault::None | Fault::Refuse | Fault::Close => (Pass::All, Pass::All),
  };
  let (Ok(client_read), Ok(server_read)) = (client.try_clone(), server.try_clone()) else {
    return;
  };
  if let (Ok(client), Ok(server)) = (client.try_clone(), server.try_clone()) {
    inner.register(number, [client, server]);
  }
  let upstream_inner = inner.clone();
  let upstream = thread::spawn(move || {
    copy(
      client_read,
      server,
      up,
      &upstream_inner.paused[0],
      &AtomicBool::new(false),
    )
  });
  let (passes_resets, paused) = (&inner.passes_resets, &inner.paused[1]);
  let Ok(reset) = client.try_clone() else {
    return;
  };
  let ended = copy(server_read, client, down, paused, passes_resets);
  if ended == Ended::Reset {
    // The reset comes with the last of its descriptors, which the other direction holds.
    let _ = SockRef::from(&reset).set_linger(Some(Duration::ZERO));
    let _ = reset.shutdown(Shutdown::Read);
  }
  let _ = upstream.join();
}

/// How one direction of a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ended {
  Closed,
  /// It was reset, which is to be passed on.
  Reset,
}

#[derive(Clone, Copy)]
enum Pass {
  All,
  Delay(Duration),
  Discard,
  /// Number of bytes to forward before closing the connection.
  Cut(usize),
}

fn copy(
  mut from: TcpStream,
  mut to: TcpStream,
  pass: Pass,
  paused: &AtomicBool,
  passes_resets: &AtomicBool,
) -> Ended {
  let mut buffer = [0; 8 << 10];
  let mut passed = 0;
  loop {
    let length = match from.read(&mut buffer) {
      Ok(length) if length > 0 => length,
      Err(_) if passes_resets.load(Ordering::SeqCst) => return Ended::Reset,
      _ => break,
    };
    let mut length = length;
    while paused.load(Ordering::SeqCst) {
      thread::sleep(PAUSE_POLL_INTERVAL);
    }
    match pass {
      Pass::All => {}
      Pass::Delay(time) => thread::sleep(time),
      Pass::Discard => continue,
      Pass::Cut(limit) => {
        length = length.min(limit - passed);
        let _ = to.write_all(&buffer[..length]);
        passed += length;
        if passed >= limit {
          let _ = from.shutdown(Shutdown::Both);
          let _ = to.shutdown(Shutdown::Both);
          return Ended::Closed;
        }
        continue;
      }
    }
    if to.write_all(&buffer[..length]).is_err() {
      break;
    }
  }
  let _ = to.shutdown(Shutdown::Write);
  Ended::Closed
}
