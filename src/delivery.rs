//! Reports that are posted to a lease holder over a connection, while datagrams are lost between it
//! and this instance: a full link loses datagrams for seconds, and delays connections.
//!
//! The holder responds with what it would publish to the instance.

use crate::{
  clock::Moment,
  http::{Request, Response},
  hub::Hub,
  message::{self, Extension, Message},
  outbound::{self, Call, Client},
  planner::{Completion, Planner},
  socket::Socket,
  tunnel,
};
use slog::info;
use std::{
  collections::BTreeMap,
  net::SocketAddr,
  sync::mpsc::{Sender, channel},
  time::Duration,
};

/// A holder is silent if no update of it arrived for this long: it publishes every 500 ms.
const SILENT_MS: u64 = 1_000;
/// Minimum time between two posts to a holder, which counts demand for 600 ms.
const POST_INTERVAL_MS: u64 = 500;
const PATH: &str = "/report";
/// Names the port at which the sender receives datagrams.
const PORT_HEADER: &str = "Datagram-Port";
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
const POST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time limit for the body of a post, and for the next post on a connection.
const READ_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time within which the planner responds to a post.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_REPORT_BYTES: usize = 60 << 10;
/// Maximum number of posts that wait for the planner.
const MAX_WAITING_POSTS: usize = 64;
/// Length of the prefix of each update in a response.
const PREFIX_BYTES: usize = 4;

/// Whether a holder that was last heard at `heard_at` is silent.
pub(crate) fn is_silent(now: u64, heard_at: u64) -> bool {
  now >= heard_at + SILENT_MS
}

#[derive(Clone, Copy, Debug)]
struct Post {
  in_flight: bool,
  next_at: u64,
}

/// Posts to the holders. Times are in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct Posts(BTreeMap<SocketAddr, Post>);

impl Posts {
  /// Starts a post to a holder. Returns whether it is to be sent: one at a time, at intervals.
  pub fn start(&mut self, now: u64, holder: SocketAddr) -> bool {
    self
      .0
      .retain(|_, post| post.in_flight || now < post.next_at);
    let idle = !self.0.contains_key(&holder);
    self.0.entry(holder).or_insert(Post {
      in_flight: true,
      next_at: now + POST_INTERVAL_MS,
    });
    idle
  }

  /// Ends the post to a holder.
  pub fn finish(&mut self, holder: SocketAddr) {
    if let Some(post) = self.0.get_mut(&holder) {
      post.in_flight = false;
    }
  }
}

/// A report that another instance posted.
pub(crate) struct Posted {
  /// Address at which the instance receives datagrams.
  from: SocketAddr,
  report: Vec<u8>,
  response: Sender<Vec<u8>>,
}

impl Planner {
  /// Posts a report to a holder from another thread.
  pub(crate) fn start_post(&self, holder: SocketAddr, message: &Message, extension: &Extension) {
    let report = message::encode(message, extension).unwrap_or_default();
    let (client, port) = (
      self.post_client.clone(),
      self.own_address.port().to_string(),
    );
    let started_at = self.hub.now();
    self.run_call(&self.queries, move |_| Completion::Posted {
      holder,
      started_at,
      updates: post(&client, holder, &port, &report),
    });
  }

  /// Applies the updates that a holder sent in response to a post. They may be as old as the post.
  pub(crate) fn finish_post(
    &mut self,
    now: u64,
    holder: SocketAddr,
    started_at: u64,
    updates: Option<Vec<u8>>,
  ) {
    self.posts.finish(holder);
    self.hub.measures.record_post(updates.is_some());
    let age = now.saturating_sub(started_at);
    for datagram in split(&updates.unwrap_or_default()) {
      if let Ok((Message::Update(mut update), extension)) = message::decode(datagram) {
        update.heartbeat.age_ms += age;
        update.deployments.age_ms += age;
        update.servers.age_ms += age;
        update.store = update.store.map(|store_age| store_age + age);
        self.receive_update(now, update, extension, holder);
      }
    }
  }

  /// Handles the reports that were posted to this instance.
  pub(crate) fn process_posts(&mut self) {
    for posted in self.hub.take_posts() {
      let now = self.hub.now();
      let Ok((Message::Report(report), extension)) = message::decode(&posted.report) else {
        info!(self.hub.log, "ignoring a post that is no report"; "from" => %posted.from);
        continue;
      };
      let mut updates = Vec::new();
      for index in 0..self.groups.len() {
        if !self.groups[index].leads(now) {
          continue;
        }
        let plan = &mut self.groups[index].plan;
        plan.receive_report(now, posted.from, report.clone());
        plan.receive_extension(now, posted.from, &extension);
        if let Some(publication) = plan.publication_for(now, posted.from) {
          for (message, extension) in self.response_to_post(now, index, &publication) {
            append(
              &mut updates,
              &message::encode(&message, &extension).unwrap_or_default(),
            );
          }
        }
      }
      // The connection may have ended meanwhile.
      let _ = posted.response.send(updates);
    }
  }
}

/// Posts a report. Returns the updates of the response.
fn post(client: &Client, holder: SocketAddr, port: &str, report: &[u8]) -> Option<Vec<u8>> {
  let call = Call {
    method: "POST",
    target: PATH,
    headers: &[(PORT_HEADER, port)],
    body: report,
    connect_timeout: CONNECT_TIMEOUT,
    read_timeout: POST_TIMEOUT,
    total_timeout: POST_TIMEOUT,
    send_before: None,
  };
  let answer = client.send(holder, &call).ok()?;
  (answer.status == 200).then_some(answer.body)
}

/// Appends an update with its length.
fn append(updates: &mut Vec<u8>, update: &[u8]) {
  updates.extend_from_slice(&(update.len() as u32).to_be_bytes());
  updates.extend_from_slice(update);
}

/// Splits a response into its updates. An incomplete one at the end is left out.
fn split(mut updates: &[u8]) -> Vec<&[u8]> {
  let mut parts = Vec::new();
  while let Some((prefix, rest)) = updates.split_at_checked(PREFIX_BYTES) {
    let length = prefix
      .iter()
      .fold(0, |sum, byte| sum << 8 | usize::from(*byte));
    let Some((update, rest)) = rest.split_at_checked(length) else {
      break;
    };
    parts.push(update);
    updates = rest;
  }
  parts
}

/// Serves the posts of a connection, of which the first head has been read.
pub(crate) fn serve(
  hub: &Hub,
  peer: &mut Socket,
  from: SocketAddr,
  first: Request,
) -> Result<(), String> {
  let mut head = first;
  loop {
    let until = Moment::now() + READ_TIMEOUT;
    let framing = head.framing().map_err(|error| error.0)?;
    let report = outbound::read_body(peer, framing, MAX_REPORT_BYTES, || until);
    let report = report.map_err(|error| format!("report: {error}"))?;
    let port = head.headers.get(PORT_HEADER).unwrap_or_default();
    let port = port
      .parse()
      .map_err(|_| format!("port: `{port}` is not a number"))?;
    let (response, updates) = channel();
    let queued = hub.queue_post(
      Posted {
        from: SocketAddr::new(from.ip(), port),
        report,
        response,
      },
      MAX_WAITING_POSTS,
    );
    let updates = match queued {
      true => updates.recv_timeout(RESPONSE_TIMEOUT).ok(),
      false => None,
    };
    let status = if updates.is_some() { 200 } else { 503 };
    let response = Response {
      status,
      reason: "report".into(),
      minor: 1,
      headers: Default::default(),
    };
    let bytes = response.encode_complete("POST", &updates.unwrap_or_default(), true);
    let until = Moment::now() + READ_TIMEOUT;
    peer
      .write_all(&bytes, until)
      .map_err(|error| format!("response: {error}"))?;
    match tunnel::read_head(peer, Moment::now() + READ_TIMEOUT) {
      Ok(next) if next.method == "POST" => head = next,
      // The instance posts no more.
      _ => return Ok(()),
    }
  }
}
