//! Interface between a routing instance and the platform it is deployed on: names, decoders and
//! calls.

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

type SendOrder = dyn Fn(&Command, Moment) -> Reply<Taken> + Send + Sync;
type QueryInventory = dyn Fn(SocketAddr, &str) -> Reply<Result<Inventory, Unheard>> + Send + Sync;

/// Kinds of the store objects that a routing instance reads and writes.
#[derive(Clone, Copy, Debug)]
pub struct Kinds {
  pub deployments: &'static str,
  /// Name of the object that holds the latest deployment.
  pub deployment: &'static str,
  pub servers: &'static str,
  pub leases: &'static str,
  pub policies: &'static str,
  /// Requests that crash servers.
  pub quarantine: &'static str,
  /// Builds that the pools have had lately.
  pub builds: &'static str,
}

/// Platform-specific parts of a routing instance.
pub struct Edge {
  pub dialect: Dialect,
  pub kinds: Kinds,
  pub store: Store,
  /// Decodes a deployment; `None` if the object is not a deployment.
  pub parse_deployment: fn(&Object) -> Result<Option<Deployment>, String>,
  /// Decodes a backend server.
  pub parse_server: fn(&Object) -> Result<Spec, String>,
  /// Sends an order to a backend server at most once, and only before the given time.
  pub send_order: Box<SendOrder>,
  /// Queries the inventory of the server with this address and id.
  pub query_inventory: Box<QueryInventory>,
}
