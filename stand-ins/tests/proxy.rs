//! Faults of the proxy are in force when the call that sets them returns.

use stand_ins::proxy::{Fault, Proxy};
use std::{
  io::{Read, Write},
  net::{SocketAddr, TcpListener, TcpStream},
  sync::atomic::{AtomicBool, Ordering},
  thread,
  time::{Duration, Instant},
};

/// Times at which the fault is set, each between connections that are being opened.
const ROUNDS: usize = 300;
const OPENERS: usize = 8;

/// Starts a server that returns each byte.
fn echo() -> SocketAddr {
  let listener = TcpListener::bind("127.0.0.1:0").unwrap();
  let address = listener.local_addr().unwrap();
  thread::spawn(move || {
    for mut stream in listener.incoming().flatten() {
      thread::spawn(move || {
        let mut byte = [0];
        while matches!(stream.read(&mut byte), Ok(1)) && stream.write_all(&byte).is_ok() {}
      });
    }
  });
  address
}

/// Whether a connection still forwards a byte to the server and back.
fn forwards(stream: &mut TcpStream) -> bool {
  let timeout = Some(Duration::from_millis(500));
  stream.set_read_timeout(timeout).unwrap();
  stream.write_all(b"x").is_ok() && matches!(stream.read(&mut [0]), Ok(1))
}

/// Opens connections until `stop` is set, and returns those that are open then.
fn open(address: SocketAddr, stop: &AtomicBool) -> Vec<TcpStream> {
  let mut streams = Vec::new();
  while !stop.load(Ordering::SeqCst) {
    streams.extend(TcpStream::connect(address));
    thread::sleep(Duration::from_micros(200));
  }
  streams
}

/// Guards against a connection that the proxy has accepted and not registered yet when it is set to
/// refuse: a call to the platform passed, although the platform counted as unavailable.
#[test]
fn no_connection_forwards_once_the_proxy_refuses() {
  let proxy = Proxy::bind(echo()).unwrap();
  for round in 0..ROUNDS {
    let stop = AtomicBool::new(false);
    let streams = thread::scope(|scope| {
      let openers: Vec<_> = (0..OPENERS)
        .map(|_| scope.spawn(|| open(proxy.address, &stop)))
        .collect();
      thread::sleep(Duration::from_millis(3));
      proxy.fault(Fault::Refuse);
      stop.store(true, Ordering::SeqCst);
      openers
        .into_iter()
        .flat_map(|opener| opener.join().unwrap())
        .collect::<Vec<_>>()
    });
    for mut stream in streams {
      assert!(
        !forwards(&mut stream),
        "round {round}: a connection forwards"
      );
    }
    proxy.fault(Fault::None);
    let start = Instant::now();
    while TcpStream::connect(proxy.address).is_err() {
      assert!(
        start.elapsed() < Duration::from_secs(10),
        "round {round}: the proxy does not listen"
      );
    }
  }
}
