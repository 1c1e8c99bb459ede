//! The `compare` command: compares two policies by cold-start time and idle accelerator
//! time, with confidence intervals.

use crate::{
  journal::{Entry, Line},
  settings::Error,
  timeline::fetch_timeline,
};
use error_stack::{Report, ResultExt};
use plotters::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{collections::BTreeMap, path::Path, process::ExitCode};

/// Number of resamples per confidence interval.
const RESAMPLES: usize = 1_000;
/// With fewer cold starts than this, tail quantiles are not meaningful.
const MIN_COLD_STARTS: usize = 30;
/// With fewer models than this, idle time is not meaningful.
const MIN_MODELS: usize = 5;

/// Records of one policy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sample {
  /// Waits of requests that needed a load, in seconds.
  pub cold: Vec<f64>,
  /// Number of requests that needed no load.
  pub warm: usize,
  /// Idle time by model, in seconds.
  pub idle: BTreeMap<String, f64>,
  pub refusals: usize,
  pub loads: usize,
}

/// A statistic and the interval that contains it in 95 of 100 resamples.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
  pub value: f64,
  pub low: f64,
  pub high: f64,
}

impl Sample {
  /// Collects the records of `policy` from `lines`.
  pub fn new<'a>(lines: impl Iterator<Item = &'a Line>, policy: &str) -> Self {
    let mut sample = Self::default();
    for line in lines {
      sample.add(&line.entry, policy);
    }
    sample
  }

  fn add(&mut self, entry: &Entry, selected: &str) {
    match entry {
      Entry::Cold {
        policy, waited_ms, ..
      } if policy == selected => self.cold.push(seconds(*waited_ms)),
      Entry::Warm { policy, .. } if policy == selected => self.warm += 1,
      Entry::Idle { model, policy, ms } if policy == selected => {
        *self.idle.entry(model.clone()).or_default() += seconds(*ms);
      }
      Entry::Refused { policy, .. } if policy == selected => self.refusals += 1,
      Entry::Decided { policy, .. } if policy == selected => self.loads += 1,
      _ => {}
    }
  }

  /// Number of dispatched requests.
  pub fn requests(&self) -> usize {
    self.cold.len() + self.warm
  }

  /// Why the sample is too small; `None` if it is large enough.
  pub fn too_small(&self) -> Option<String> {
    if self.cold.len() < MIN_COLD_STARTS {
      return Some(format!(
        "{} cold starts, below {MIN_COLD_STARTS}",
        self.cold.len()
      ));
    }
    let models = self.idle.len();
    (models < MIN_MODELS).then(|| format!("{models} models, below {MIN_MODELS}"))
  }

  /// The `fraction` quantile of the waits for a load.
  pub fn cold_start(&self, fraction: f64) -> Estimate {
    interval(&self.cold, |values| quantile(values, fraction))
  }

  /// Total idle accelerator time, resampled by model.
  pub fn idle_time(&self) -> Estimate {
    let by_model: Vec<f64> = self.idle.values().copied().collect();
    interval(&by_model, |values| values.iter().sum())
  }
}

fn seconds(ms: u64) -> f64 {
  ms as f64 / 1_000.0
}

/// The `fraction` quantile of the values; 0 if there are none.
pub fn quantile(values: &[f64], fraction: f64) -> f64 {
  let mut sorted = values.to_vec();
  sorted.sort_by(f64::total_cmp);
  let rank = (sorted.len() as f64 * fraction).ceil() as usize;
  let index = rank.saturating_sub(1).min(sorted.len().saturating_sub(1));
  sorted.get(index).copied().unwrap_or_default()
}

/// A statistic with its bootstrap interval; deterministic for the same values.
fn interval(values: &[f64], statistic: impl Fn(&[f64]) -> f64) -> Estimate {
  let value = statistic(values);
  if values.is_empty() {
    return Estimate {
      value,
      low: value,
      high: value,
    };
  }
  let mut rng = SmallRng::seed_from_u64(values.len() as u64);
  let mut resampled = Vec::with_capacity(RESAMPLES);
  for _ in 0..RESAMPLES {
    let pick = || values[rng.random_range(0..values.len())];
    let resample: Vec<f64> = std::iter::repeat_with(pick).take(values.len()).collect();
    resampled.push(statistic(&resample));
  }
  Estimate {
    value,
    low: quantile(&resampled, 0.025),
    high: quantile(&resampled, 0.975),
  }
}

/// Prints both policies side by side, and plots them if `plot` is set.
pub fn compare(
  args: &[String],
  instance: &str,
  plot: Option<&Path>,
) -> Result<ExitCode, Report<Error>> {
  let [first, second] = args else {
    return Err(Report::new(Error(
      "compare: two policies are required".into(),
    )));
  };
  let timeline = fetch_timeline(instance)?;
  for member in &timeline.unreachable {
    eprintln!("{}: no response; its records are missing", member.instance);
  }
  let lines = || timeline.lines.iter().map(|(_, line)| line);
  let samples = [
    (first.as_str(), Sample::new(lines(), first)),
    (second.as_str(), Sample::new(lines(), second)),
  ];
  print!("{}", table(&samples));
  if let Some(path) = plot {
    let plot_error = || Error(format!("could not plot `{}`", path.display()));
    plot_cold_starts(&samples, path).change_context_lazy(plot_error)?;
  }
  Ok(ExitCode::SUCCESS)
}

/// Formats the comparison as text.
pub fn table(samples: &[(&str, Sample)]) -> String {
  let mut text = String::new();
  let mut row = |name: &str, cell: &dyn Fn(&Sample) -> String| {
    let cells = samples
      .iter()
      .map(|(_, sample)| format!("{:>28}", cell(sample)));
    text += &format!("{name:<24}{}\n", cells.collect::<String>());
  };
  let format = |estimate: Estimate| {
    format!(
      "{:.3} [{:.3}, {:.3}]",
      estimate.value, estimate.low, estimate.high
    )
  };
  row("requests", &|sample| sample.requests().to_string());
  row("cold starts", &|sample| sample.cold.len().to_string());
  for (name, fraction) in [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)] {
    let name = format!("cold start {name}, s");
    row(&name, &|sample| format(sample.cold_start(fraction)));
  }
  row("idle accelerator, s", &|sample| format(sample.idle_time()));
  row("loads", &|sample| sample.loads.to_string());
  row("refusals", &|sample| sample.refusals.to_string());
  let names = samples.iter().map(|(name, _)| format!("{name:>28}"));
  let mut text = format!("{:<24}{}\n{text}", "policy", names.collect::<String>());
  for (name, sample) in samples {
    if let Some(reason) = sample.too_small() {
      text += &format!("{name}: the sample is too small to judge: {reason}\n");
    }
  }
  text
}

/// Plots the cumulative share of cold starts by wait.
fn plot_cold_starts(
  samples: &[(&str, Sample)],
  path: &Path,
) -> Result<(), DrawingAreaErrorKind<std::io::Error>> {
  let area = SVGBackend::new(path, (720, 420)).into_drawing_area();
  area.fill(&WHITE)?;
  let waits = samples
    .iter()
    .flat_map(|(_, sample)| sample.cold.iter().copied());
  let longest = waits.fold(0.001, f64::max);
  let mut chart = ChartBuilder::on(&area)
    .margin(20)
    .x_label_area_size(30)
    .y_label_area_size(40)
    .build_cartesian_2d(0.0..longest, 0.0..1.0)?;
  chart
    .configure_mesh()
    .x_desc("wait for a load, s")
    .y_desc("share")
    .draw()?;
  for (color, (_, sample)) in [BLUE, RED].iter().zip(samples) {
    let mut sorted = sample.cold.clone();
    sorted.sort_by(f64::total_cmp);
    let count = sorted.len().max(1) as f64;
    let points = sorted
      .iter()
      .enumerate()
      .map(|(index, wait)| (*wait, (index + 1) as f64 / count));
    chart.draw_series(LineSeries::new(points, color))?;
  }
  area.present()
}
