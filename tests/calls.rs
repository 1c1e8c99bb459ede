//! Calls to engines and services, by their responses.

use bendsaddle::{
  call::{self, Timeouts},
  verdict::Verdict,
};
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
