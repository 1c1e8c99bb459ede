//! A TCP proxy that injects faults.

use bendsaddle::web::listen;
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

/// What is done to connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
  /// Pass everything.
  #[default]
  None,
  /// Accept no connection: connects are refused.
  Refuse,
  /// Hold each piece for a time before it passes.
  Delay(Duration),
  /// Accept and swallow; answer nothing.
  Hold,
  /// Close at once after accepting.
  Close,
  /// Pass this many bytes of the request, then close.
  CutRequest(usize),
  /// Pass the request, then close before the answer.
  LoseAnswer,
  /// Pass this many bytes of the answer, then close.
  CutAnswer(usize),
}

struct Inner {
  target: Mutex<SocketAddr>,
  fault: Mutex<Fault>,
  /// Connections still to be hit; then the fault ends.
  left: AtomicU64,
  open: Mutex<HashMap<u64, [TcpStream; 2]>>,
  connections: AtomicU64,
  closing: AtomicBool,
  /// Nothing passes towards the target, and from it.
  held: [AtomicBool; 2],
}

/// Pause between two looks whether a held direction is open again.
const HELD: Duration = Duration::from_millis(5);

/// A running proxy.
#[derive(Clone)]
pub struct Proxy {
  inner: Arc<Inner>,
  pub address: SocketAddr,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
  mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Proxy {
  /// Binds a proxy before `target`.
  pub fn bind(target: SocketAddr) -> io::Result<Self> {
    let listener = listen("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let inner = Arc::new(Inner {
      target: Mutex::new(target),
      fault: Mutex::default(),
      left: AtomicU64::new(0),
      open: Mutex::default(),
      connections: AtomicU64::new(0),
      closing: AtomicBool::new(false),
      held: Default::default(),
    });
    let served = inner.clone();
    thread::spawn(move || accept(&served, listener, address));
    Ok(Self { inner, address })
  }

  /// Puts a fault in force until changed.
  pub fn fault(&self, fault: Fault) {
    self.inner.left.store(u64::MAX, Ordering::SeqCst);
    *lock(&self.inner.fault) = fault;
    if fault == Fault::Refuse {
      self.cut();
      // Wakes the acceptor, so that it closes its socket.
      while TcpStream::connect(self.address).is_ok() {
        thread::sleep(Duration::from_millis(1));
      }
    }
  }

  /// Puts a fault in force for the next connections.
  pub fn fault_next(&self, fault: Fault, connections: u64) {
    *lock(&self.inner.fault) = fault;
    self.inner.left.store(connections, Ordering::SeqCst);
  }

  /// Lets nothing pass towards the target, from it, or both; open connections stay and
  /// are silent.
  pub fn hold(&self, up: bool, down: bool) {
    self.inner.held[0].store(up, Ordering::SeqCst);
    self.inner.held[1].store(down, Ordering::SeqCst);
  }

  /// Closes every open connection.
  pub fn cut(&self) {
    for stream in lock(&self.inner.open).values().flatten() {
      let _ = stream.shutdown(Shutdown::Both);
    }
  }

  /// Sends new connections elsewhere.
  pub fn retarget(&self, target: SocketAddr) {
    *lock(&self.inner.target) = target;
  }

  /// Connections accepted.
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
      carry(&inner, client, number);
      lock(&inner.open).remove(&number);
    });
  }
}

fn take_fault(inner: &Inner) -> Fault {
  let fault = *lock(&inner.fault);
  let take = |left: u64| left.checked_sub(1);
  let taken = inner
    .left
    .fetch_update(Ordering::SeqCst, Ordering::SeqCst, take);
  if taken.is_ok() { fault } else { Fault::None }
}

fn carry(inner: &Arc<Inner>, client: TcpStream, number: u64) {
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
    Fault::Hold => (Pass::Swallow, Pass::Swallow),
    Fault::CutRequest(bytes) => (Pass::Cut(bytes), Pass::All),
    Fault::LoseAnswer => (Pass::All, Pass::Cut(0)),
    Fault::CutAnswer(bytes) => (Pass::All, Pass::Cut(bytes)),
    Fault::None | Fault::Refuse | Fault::Close => (Pass::All, Pass::All),
  };
  let (Ok(client_read), Ok(server_read)) = (client.try_clone(), server.try_clone()) else {
    return;
  };
  if let (Ok(client), Ok(server)) = (client.try_clone(), server.try_clone()) {
    lock(&inner.open).insert(number, [client, server]);
  }
  let holder = inner.clone();
  let upstream = thread::spawn(move || pump(client_read, server, up, &holder.held[0]));
  pump(server_read, client, down, &inner.held[1]);
  let _ = upstream.join();
}

#[derive(Clone, Copy)]
enum Pass {
  All,
  Delay(Duration),
  Swallow,
  /// Bytes passed before the connection closes.
  Cut(usize),
}

fn pump(mut from: TcpStream, mut to: TcpStream, pass: Pass, held: &AtomicBool) {
  let mut buffer = [0; 8 << 10];
  let mut passed = 0;
  loop {
    let length = match from.read(&mut buffer) {
      Ok(length) if length > 0 => length,
      _ => break,
    };
    let mut length = length;
    while held.load(Ordering::SeqCst) {
      thread::sleep(HELD);
    }
    match pass {
      Pass::All => {}
      Pass::Delay(time) => thread::sleep(time),
      Pass::Swallow => continue,
      Pass::Cut(most) => {
        length = length.min(most - passed);
        let _ = to.write_all(&buffer[..length]);
        passed += length;
        if passed >= most {
          let _ = from.shutdown(Shutdown::Both);
          let _ = to.shutdown(Shutdown::Both);
          return;
        }
        continue;
      }
    }
    if to.write_all(&buffer[..length]).is_err() {
      break;
    }
  }
  let _ = to.shutdown(Shutdown::Write);
}
