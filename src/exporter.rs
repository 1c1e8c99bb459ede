//! Counters and histograms, and their export in the Prometheus text format.

use opentelemetry::{
  KeyValue,
  metrics::{Counter, Histogram, Meter, MeterProvider},
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Bounds of the wait histograms, seconds.
const BOUNDS: [f64; 14] = [
  0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 120.0,
];

/// A registry of instruments of its own, scraped as text.
pub struct Exporter {
  registry: Registry,
  provider: SdkMeterProvider,
}

impl Exporter {
  /// Opens an empty registry; an error says that the exporter cannot be registered.
  pub fn open() -> Result<Self, Box<dyn std::error::Error>> {
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

  /// Appends all instruments to `text`; an error says what could not be encoded, and
  /// leaves what was written before it.
  pub fn encode(&self, text: &mut Vec<u8>) -> Result<(), prometheus::Error> {
    TextEncoder::new().encode(&self.registry.gather(), text)
  }
}

/// A histogram of times, seconds.
pub(crate) fn seconds(meter: &Meter, name: &'static str, text: &'static str) -> Histogram<f64> {
  meter
    .f64_histogram(name)
    .with_description(text)
    .with_unit("s")
    .with_boundaries(BOUNDS.to_vec())
    .build()
}

/// A counter.
pub(crate) fn count(meter: &Meter, name: &'static str, text: &'static str) -> Counter<u64> {
  meter.u64_counter(name).with_description(text).build()
}

/// A label of an instrument.
pub(crate) fn label(key: &'static str, value: &str) -> KeyValue {
  KeyValue::new(key, value.to_string())
}

/// Milliseconds as seconds.
pub(crate) fn ms(ms: u64) -> f64 {
  ms as f64 / 1_000.0
}
