//! A plain HTTP service that counts the runs of each call.

use crate::http;
use serde_json::json;
use std::{
  collections::BTreeMap,
  io,
  net::SocketAddr,
  sync::{Arc, Mutex, PoisonError},
  thread,
  time::Duration,
};

/// Number of runs by request body.
type Runs = Arc<Mutex<BTreeMap<String, u32>>>;

/// A running plain service.
#[derive(Clone)]
pub struct Service {
  runs: Runs,
  pub address: SocketAddr,
}

impl Service {
  /// Binds a service whose calls take `time`. Each response holds the body and its run count.
  pub fn bind(address: &str, time: Duration) -> io::Result<Self> {
    let runs: Runs = Arc::default();
    let counted = runs.clone();
    let address = http::bind(address, move |mut request| {
      let body = String::from_utf8_lossy(&http::body(&mut request)).into_owned();
      let run = {
        let mut runs = counted.lock().unwrap_or_else(PoisonError::into_inner);
        let count = runs.entry(body.clone()).or_default();
        *count += 1;
        *count
      };
      thread::sleep(time);
      http::json(request, 200, &json!({ "body": body, "run": run }));
    })?;
    Ok(Self { runs, address })
  }

  /// Number of runs of the call with this body.
  pub fn runs(&self, body: &str) -> u32 {
    let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
    runs.get(body).copied().unwrap_or_default()
  }

  /// Number of runs of every call, by request body.
  pub fn all(&self) -> BTreeMap<String, u32> {
    let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
    runs.clone()
  }
}
