//! Counters and histograms, and their export in the Prometheus text format.

use opentelemetry::{
  KeyValue,
  metrics::{Counter, Histogram, Meter, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Bucket bounds of the wait histograms.
const WAIT_BUCKETS_S: [f64; 14] = [
  0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 120.0,
];

/// A separate registry of instruments, exported as text.
pub struct Exporter {
  registry: Registry,
  provider: SdkMeterProvider,
}

impl Exporter {
  /// Creates an empty registry. Fails if the exporter cannot be registered.
  pub fn new() -> Result<Self, Box<dyn std::error::Error>> {
    let registry = Registry::new();
    let exporter = opentelemetry_prometheus::exporter()
      .with_registry(registry.clone())
      .build()?;
    let provider = SdkMeterProvider::builder().with_reader(exporter).build();
    Ok(Self { registry, provider })
  }

  /// The meter whose instruments are exported.
  pub fn meter(&self) -> Meter {
    self.provider.meter("bendsaddle")
  }

  /// Appends all instruments to `text`. An error says what could not be encoded; text
  /// written before it remains.
  pub fn encode(&self, text: &mut Vec<u8>) -> Result<(), prometheus::Error> {
    TextEncoder::new().encode(&self.registry.gather(), text)
  }
}

/// Creates a histogram of times in seconds.
pub(crate) fn time_histogram(
  meter: &Meter,
  name: &'static str,
  description: &'static str,
) -> Histogram<f64> {
  meter
    .f64_histogram(name)
    .with_description(description)
    .with_unit("s")
    .with_boundaries(WAIT_BUCKETS_S.to_vec())
    .build()
}

/// Creates a counter.
pub(crate) fn counter(
  meter: &Meter,
  name: &'static str,
  description: &'static str,
) -> Counter<u64> {
  meter
    .u64_counter(name)
    .with_description(description)
    .build()
}

/// Creates a label of an instrument.
pub(crate) fn label(key: &'static str, value: &str) -> KeyValue {
  KeyValue::new(key, value.to_string())
}

/// Converts milliseconds to seconds.
pub(crate) fn ms_to_s(ms: u64) -> f64 {
  ms as f64 / 1_000.0
}
