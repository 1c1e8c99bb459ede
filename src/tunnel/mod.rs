//! Tunnels: an instance that cannot connect to a backend server reaches it through another instance.
//!
//! A tunnel carries one request. The instance that the caller is connected to opens it with an HTTP
//! `CONNECT` at the other instance's peer address, which names the server by its id, and makes all
//! decisions: choice, retries, quotas and keys are counted there as on its own connections. The
//! other instance passes bytes on. A tunnel ends at a server, so a request takes at most one.
//!
//! Instances also ask each other whether a server runs, with a `PROBE` in place of the `CONNECT`.

mod client;
mod path;
mod pipe;
mod server;

pub(crate) use client::{Failure, Peers, Target, ask, open};
pub(crate) use path::Paths;
pub(crate) use server::bind;

use std::time::Duration;

/// How long an instance may take to connect to a server for another one. A running server accepts
/// within a few milliseconds.
const SERVER_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// How long an instance may take to check for another one whether a server runs.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of the heads that open a tunnel.
const MAX_HEAD_BYTES: usize = 4 << 10;
/// Method that opens a tunnel.
const OPEN: &str = "CONNECT";
/// Method that asks whether a server runs.
const ASK: &str = "PROBE";
/// The other instance has reached no server lately, is stopping or carries too many tunnels.
const STATUS_UNAVAILABLE: u16 = 503;
/// The other instance cannot connect to the server.
const STATUS_UNREACHABLE: u16 = 502;
