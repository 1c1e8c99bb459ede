//! Bytes held for callers that send or read slowly.
//!
//! Load pattern: many callers stop reading long streamed answers at once, or send large bodies a
//! few bytes at a time, while others are served. An instance must not outgrow its memory, and a
//! server must not be left unread: it cuts such an answer off, and what it holds meanwhile is its
//! own memory.

mod account;
mod ledger;

pub use account::{Account, Book};
pub use ledger::{Key, Ledger, Scope};

use std::time::Duration;

/// Bytes charged to each request, however little is held for it: what one read of a body or of an
/// answer takes, before and after decoding.
pub const BASE_BYTES: u64 = 32 << 10;
/// Maximum time for which a server is left unread because its answer's reader has no room left.
/// Servers cut answers off that are left unread for some seconds.
pub const MAX_SERVER_UNREAD: Duration = Duration::from_millis(1_000);
/// Maximum time for which a reader takes less than `MIN_PROGRESS_BYTES` of what is held for it.
pub const MAX_READER_IDLE: Duration = Duration::from_millis(5_000);
/// Less progress than this counts as none, so that a reader of single bytes does not hold an answer
/// for hours.
pub const MIN_PROGRESS_BYTES: usize = 4 << 10;
/// Interval at which a thread that holds bytes checks whether its caller was chosen to be dropped.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Retry delay for a request that is refused at a bound. A caller that is dropped releases its
/// bytes within `CHECK_INTERVAL`, one that merely lags within about a second.
pub const RETRY_MS: u64 = 1_000;

/// Part of an instance's memory that may be held for callers. The rest is for threads, sockets, the
/// fleet's state, and for a body's second copy while it is sent.
const INSTANCE_SHARE: u64 = 4;
/// Part of the instance's bound that may be held for one customer, so that another one always has room.
const CUSTOMER_SHARE: u64 = 2;
/// Part of the instance's bound that may be held for one caller.
const CALLER_SHARE: u64 = 4;
/// Part of the instance's bound that is kept for new requests: callers that do not read fill the rest, and
/// would otherwise keep new ones out until each is dropped.
const ARRIVAL_SHARE: u64 = 8;

/// Maximum bytes held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
  /// For one request.
  pub caller: u64,
  /// For all requests of a customer, where customers are configured.
  pub customer: u64,
  /// For all requests of the instance.
  pub instance: u64,
}

impl Bounds {
  /// The bounds of an instance with this much memory.
  pub fn of_memory(memory_mb: u64) -> Self {
    let instance = (memory_mb << 20) / INSTANCE_SHARE;
    Self {
      caller: instance / CALLER_SHARE,
      customer: instance / CUSTOMER_SHARE,
      instance,
    }
  }

  /// Part of the instance's bound that is kept for new requests.
  pub(crate) fn arrivals(&self) -> u64 {
    self.instance / ARRIVAL_SHARE
  }

  /// Part of the instance's bound that large bodies and unread answers share.
  pub(crate) fn shared(&self) -> u64 {
    self.instance - self.arrivals()
  }
}

/// Why a caller is dropped although its request was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
  /// Others needed the room, and more was held for it than for any other.
  Pressure,
  /// Its server was left unread for too long.
  ServerUnread,
  /// It stopped reading.
  Idle,
}

impl Cause {
  /// Returns the name used in logs and as a metric label.
  pub fn as_str(self) -> &'static str {
    match self {
      Self::Pressure => "pressure",
      Self::ServerUnread => "server-unread",
      Self::Idle => "idle",
    }
  }
}
