//! What an instance needs in order to serve requests, and has.

/// Each part is true if the instance has it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Readiness {
  pub configuration: bool,
  /// The list of backend servers.
  pub servers: bool,
  /// The stored records of requests that crash servers.
  pub records: bool,
  /// Known keys are recent enough to be trusted, or none are needed.
  pub keys: bool,
  /// No graceful shutdown has started.
  pub running: bool,
}

impl Readiness {
  /// Whether requests can be served.
  pub fn is_ready(self) -> bool {
    self.configuration && self.servers && self.records && self.keys && self.running
  }
}
