//! How fast backend servers are, as measured by the streams that instances relay.

/// How slow a server is in relation to its pool: 1 is the pool's median, 2 takes twice as long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
  /// Over the life of the server.
  pub lasting: f32,
  /// Over the last seconds.
  pub current: f32,
}

impl Default for Pace {
  /// The median, which holds for servers that were not measured yet.
  fn default() -> Self {
    Self {
      lasting: 1.0,
      current: 1.0,
    }
  }
}
