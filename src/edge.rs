//! What a deployment brings to a routing instance: names, decoders and calls.

use crate::{
  backend::Spec,
  clock::Moment,
  command::{Command, Inventory, Taken, Unheard},
  deployment::Deployment,
  dialect::Dialect,
  statement::Reply,
  store::{Object, Store},
};
use std::net::SocketAddr;

type Order = dyn Fn(&Command, Moment) -> Reply<Taken> + Send + Sync;
type Report = dyn Fn(SocketAddr, &str) -> Reply<Result<Inventory, Unheard>> + Send + Sync;

/// The kinds of objects that routing reads and writes.
#[derive(Clone, Copy, Debug)]
pub struct Kinds {
  pub deployments: &'static str,
  pub servers: &'static str,
  pub leases: &'static str,
  pub policies: &'static str,
  /// Requests that crash servers.
  pub quarantine: &'static str,
}

/// The edges of a routing instance.
pub struct Edge {
  pub dialect: Dialect,
  pub kinds: Kinds,
  pub store: Store,
  /// The deployment in an object; none for an object that is none.
  pub parse_deployment: fn(&Object) -> Result<Option<Deployment>, String>,
  /// The backend server in an object.
  pub parse_server: fn(&Object) -> Result<Spec, String>,
  /// Sends an order to a backend server, once, before a moment or not at all.
  pub send_order: Box<Order>,
  /// Asks the server with this id what it holds.
  pub query_inventory: Box<Report>,
}
