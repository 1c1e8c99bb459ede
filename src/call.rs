//! HTTP calls, with a verdict on whether the request may have run.
//!
//! Each call uses a new connection: if a reused connection fails, it is unknown whether the server
//! received the request. Calls are not retried and redirects are not followed.

use crate::{http::STATUSES, verdict::Verdict};
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

/// A call that got no response.
#[derive(Clone, Debug)]
pub struct Failure {
  pub verdict: Verdict,
  pub text: String,
}

/// Buffer size per direction, small because many streams are open at once.
const BUFFER_BYTES: usize = 8 << 10;

/// Timeouts of a call.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
  pub connect: Duration,
  /// Between the request and the head of the response.
  pub response: Duration,
  /// Between two reads of the body.
  pub read: Duration,
}

/// Connector that records whether any byte was sent over its connection.
#[derive(Debug)]
struct SendRecorder(Arc<AtomicBool>);

#[derive(Debug)]
struct RecordingTransport<T> {
  inner: T,
  sent: Arc<AtomicBool>,
}

impl<In: Transport> Connector<In> for SendRecorder {
  type Out = Either<In, RecordingTransport<In>>;

  fn connect(
    &self,
    _: &ConnectionDetails,
    chained: Option<In>,
  ) -> Result<Option<Self::Out>, ureq::Error> {
    let sent = self.0.clone();
    Ok(chained.map(|inner| Either::B(RecordingTransport { inner, sent })))
  }
}

impl<T: Transport> Transport for RecordingTransport<T> {
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

/// Sends a request without retries.
pub fn send(request: Request<Vec<u8>>, timeouts: Timeouts) -> Result<Response<Body>, Failure> {
  let sent = Arc::new(AtomicBool::new(false));
  let config = Agent::config_builder()
    .max_redirects(0)
    .max_redirects_will_error(false)
    .http_status_as_error(false)
    .proxy(None)
    .max_idle_connections(0)
    .input_buffer_size(BUFFER_BYTES)
    .output_buffer_size(BUFFER_BYTES)
    .timeout_connect(Some(timeouts.connect))
    .timeout_recv_response(Some(timeouts.response))
    .timeout_per_read(Some(timeouts.read))
    .timeout_per_write(Some(timeouts.read))
    .build();
  let connector = TcpConnector::default().chain(SendRecorder(sent.clone()));
  let agent = Agent::with_parts(config, connector, DefaultResolver::default());
  let response = agent.run(request).map_err(|error| Failure {
    verdict: match sent.load(Ordering::Relaxed) {
      true => Verdict::MayHaveRun,
      false => Verdict::NotRun,
    },
    text: error.to_string(),
  })?;
  let status = response.status().as_u16();
  match STATUSES.contains(&status) {
    true => Ok(response),
    false => Err(Failure {
      verdict: Verdict::MayHaveRun,
      text: format!("head: status `{status:03}` has no class"),
    }),
  }
}

/// Creates a POST request with a JSON body.
pub fn post(address: &str, path: &str, body: Vec<u8>) -> Result<Request<Vec<u8>>, Failure> {
  Request::post(format!("http://{address}{path}"))
    .header("content-type", "application/json")
    .body(body)
    .map_err(|error| Failure {
      verdict: Verdict::NotRun,
      text: error.to_string(),
    })
}
