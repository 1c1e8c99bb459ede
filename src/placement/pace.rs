//! The pace of servers, as the planner of their group knows it.

use super::{plan::Plan, server};
use crate::{life::Life, pace::Pace};

impl Plan {
  /// The pace of a server in relation to its pool.
  pub(crate) fn pace(&self, _server: server::Key) -> Pace {
    Pace::default()
  }

  /// The pace of the server that a life names; the median if it is unknown.
  pub fn pace_of_life(&self, life: Life) -> Pace {
    let server = self.find_server(life);
    server.map_or(Pace::default(), |server| self.pace(server))
  }
}
