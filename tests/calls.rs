//! Calls to engines and services, by their responses.

use bendsaddle::{
  call::{self, Timeouts},
  outbound::{Call, Client, Failure},
  reply::Answer,
  verdict::Verdict,
};
use socket2::SockRef;
use std::{
  io::{Read, Write},
  net::{SocketAddr, TcpListener},
  thread,
  time::Duration,
};

const TIMEOUTS: Timeouts = Timeouts {
  connect: Duration::from_secs(2),
  response: Duration::from_secs(2),
  read: Duration::from_secs(2),
};

/// Size of a body that does not fit into the system's buffers.
const UPLOAD_BYTES: usize = 6 << 20;
const UPLOADS: usize = 16;

/// Responds to each call with these bytes.
fn serve(responses: Vec<String>) -> SocketAddr {
  let listener = TcpListener::bind("127.0.0.1:0").unwrap();
  let address = listener.local_addr().unwrap();
  thread::spawn(move || {
    for response in responses {
      let (mut stream, _) = listener.accept().unwrap();
      let _ = stream.read(&mut [0; 1024]).unwrap();
      // The caller's side may close the connection early.
      let _ = stream.write_all(response.as_bytes());
    }
  });
  address
}

/// A response whose status HTTP does not define was passed on; a malformed head never is.
#[test]
fn a_response_with_a_malformed_head_is_none() {
  let heads = [
    "000 Odd\r\n",
    "099 Odd\r\n",
    "600 Odd\r\n",
    "999 Odd\r\n",
    "200 OK\r\nX Name: a\r\n",
    "200 OK\r\nX-Name : a\r\n",
    "200 OK\r\nX-\x01Name: a\r\n",
    "200 OK\r\n folded\r\n",
    "200 OK\r\nX-Name: a\r\n folded\r\n",
  ];
  let responses = heads.map(|head| format!("HTTP/1.1 {head}Content-Length: 2\r\n\r\n{{}}"));
  let address = serve(responses.to_vec()).to_string();
  let failed = heads.iter().map(|head| {
    let request = call::post(&address, "/", Vec::new()).unwrap();
    let sent = call::send(request, TIMEOUTS);
    (head, sent.err().map(|failure| failure.verdict))
  });
  let failed: Vec<_> = failed.collect();
  let wrong = failed
    .iter()
    .filter(|(_, verdict)| *verdict != Some(Verdict::MayHaveRun));
  assert_eq!(wrong.count(), 0, "{failed:#?}");
}

/// Resets each connection, behind a part of a response, while its request is written.
fn reset_all() -> SocketAddr {
  let listener = TcpListener::bind("127.0.0.1:0").unwrap();
  let address = listener.local_addr().unwrap();
  thread::spawn(move || {
    for mut stream in listener.incoming().flatten() {
      let _ = stream.read(&mut [0; 1024]).unwrap();
      stream.write_all(b"HTTP/1.1 200 OK\r\n\r\npart").unwrap();
      let reset = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
      reset.unwrap();
    }
  });
  address
}

/// Guards against a part of a response that is taken for a whole one, since the write that failed has taken
/// the reset off the connection.
#[test]
fn a_response_reset_while_its_request_is_written_is_none() {
  let address = reset_all().to_string();
  let whole = (0..UPLOADS).filter(|_| {
    let request = call::post(&address, "/", vec![b'x'; UPLOAD_BYTES]).unwrap();
    let response = call::send(request, TIMEOUTS);
    response.is_ok_and(|response| Answer::read(response, UPLOAD_BYTES).is_some())
  });
  assert_eq!(whole.count(), 0);
}

/// The same for orders, reports and calls to the store.
#[test]
fn an_answer_reset_while_its_call_is_written_is_none() {
  let (address, client) = (reset_all(), Client::default());
  let body = vec![b'x'; UPLOAD_BYTES];
  let call = Call {
    method: "PUT",
    target: "/",
    headers: &[],
    body: &body,
    max_answer_bytes: 1 << 10,
    connect_timeout: TIMEOUTS.connect,
    read_timeout: TIMEOUTS.read,
    total_timeout: TIMEOUTS.read,
    send_before: None,
  };
  for _ in 0..UPLOADS {
    assert_eq!(client.send(address, &call).err(), Some(Failure::NoAnswer));
  }
}
