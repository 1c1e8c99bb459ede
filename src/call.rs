//! One HTTP call, made once, with a verdict on whether it may have run.
//!
//! Each call has a connection of its own: a reused connection that breaks could
//! not show whether the server saw the request. Nothing is repeated and no
//! redirect is followed.

use crate::verdict::Verdict;
use std::{
  sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
  },
  time::Duration,
};
use ureq::{
  Agent, Body,
  http::{Request, Response},
  unversioned::{
    resolver::DefaultResolver,
    transport::{
      Buffers, ConnectionDetails, Connector, Either, NextTimeout, TcpConnector, Transport,
    },
  },
};

/// A call that got no answer.
#[derive(Clone, Debug)]
pub struct Failure {
  pub verdict: Verdict,
  pub text: String,
}

/// Bytes buffered each way; many streams are open at once.
const BUFFER: usize = 8 << 10;

/// Bounds on a call's waits.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
  pub connect: Duration,
  /// Between request and the answer's head.
  pub response: Duration,
  /// Between two reads of the body.
  pub read: Duration,
}

/// Marks a connection over which a byte went out.
#[derive(Debug)]
struct Mark(Arc<AtomicBool>);

#[derive(Debug)]
struct Marked<T> {
  inner: T,
  sent: Arc<AtomicBool>,
}

impl<In: Transport> Connector<In> for Mark {
  type Out = Either<In, Marked<In>>;

  fn connect(
    &self,
    _: &ConnectionDetails,
    chained: Option<In>,
  ) -> Result<Option<Self::Out>, ureq::Error> {
    let sent = self.0.clone();
    Ok(chained.map(|inner| Either::B(Marked { inner, sent })))
  }
}

impl<T: Transport> Transport for Marked<T> {
  fn buffers(&mut self) -> &mut dyn Buffers {
    self.inner.buffers()
  }

  fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), ureq::Error> {
    self.sent.store(true, Ordering::Relaxed);
    self.inner.transmit_output(amount, timeout)
  }

  fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, ureq::Error> {
    self.inner.await_input(timeout)
  }

  fn is_open(&mut self) -> bool {
    self.inner.is_open()
  }
}

/// Makes one call.
pub fn send(request: Request<Vec<u8>>, waits: Timeouts) -> Result<Response<Body>, Failure> {
  let sent = Arc::new(AtomicBool::new(false));
  let config = Agent::config_builder()
    .max_redirects(0)
    .max_redirects_will_error(false)
    .http_status_as_error(false)
    .proxy(None)
    .max_idle_connections(0)
    .input_buffer_size(BUFFER)
    .output_buffer_size(BUFFER)
    .timeout_connect(Some(waits.connect))
    .timeout_recv_response(Some(waits.response))
    .timeout_per_read(Some(waits.read))
    .timeout_per_write(Some(waits.read))
    .build();
  let connector = TcpConnector::default().chain(Mark(sent.clone()));
  let agent = Agent::with_parts(config, connector, DefaultResolver::default());
  agent.run(request).map_err(|error| Failure {
    verdict: match sent.load(Ordering::Relaxed) {
      true => Verdict::MayHaveRun,
      false => Verdict::NotRun,
    },
    text: error.to_string(),
  })
}

/// A request with a JSON body.
pub fn post(address: &str, path: &str, body: Vec<u8>) -> Result<Request<Vec<u8>>, Failure> {
  Request::post(format!("http://{address}{path}"))
    .header("content-type", "application/json")
    .body(body)
    .map_err(|error| Failure {
      verdict: Verdict::NotRun,
      text: error.to_string(),
    })
}
