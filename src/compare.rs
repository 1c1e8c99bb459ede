//! `compare`: two policies on both measures, with confidence intervals.

use crate::{
  journal::{Entry, Line},
  settings::Error,
  timeline::gather,
};
use error_stack::{Report, ResultExt};
use plotters::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{collections::BTreeMap, path::Path, process::ExitCode};

/// Resamples of a confidence interval.
const RESAMPLES: usize = 1_000;
/// Fewer cold starts than this say little of a tail.
const ENOUGH_COLD: usize = 30;
/// Fewer models than this say little of idle time.
const ENOUGH_MODELS: usize = 5;

/// What was recorded of one policy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sample {
  /// Waits of requests that needed a load, seconds.
  pub cold: Vec<f64>,
  /// Requests that needed none.
  pub warm: usize,
  /// Idle time by model, seconds.
  pub idle: BTreeMap<String, f64>,
  pub refusals: usize,
  pub loads: usize,
}

/// A figure with the interval that holds it in 95 of 100 resamples.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figure {
  pub value: f64,
  pub low: f64,
  pub high: f64,
}

impl Sample {
  /// What the lines say of a policy.
  pub fn new<'a>(lines: impl Iterator<Item = &'a Line>, policy: &str) -> Self {
    let mut sample = Self::default();
    for line in lines {
      sample.take(&line.entry, policy);
    }
    sample
  }

  fn take(&mut self, entry: &Entry, wanted: &str) {
    match entry {
      Entry::Cold {
        policy, waited_ms, ..
      } if policy == wanted => self.cold.push(seconds(*waited_ms)),
      Entry::Warm { policy, .. } if policy == wanted => self.warm += 1,
      Entry::Idle { model, policy, ms } if policy == wanted => {
        *self.idle.entry(model.clone()).or_default() += seconds(*ms);
      }
      Entry::Refused { policy, .. } if policy == wanted => self.refusals += 1,
      Entry::Decided { policy, .. } if policy == wanted => self.loads += 1,
      _ => {}
    }
  }

  /// Requests that got their dispatch.
  pub fn requests(&self) -> usize {
    self.cold.len() + self.warm
  }

  /// Why the sample is too small, if it is.
  pub fn too_small(&self) -> Option<String> {
    if self.cold.len() < ENOUGH_COLD {
      return Some(format!(
        "{} cold starts, below {ENOUGH_COLD}",
        self.cold.len()
      ));
    }
    let models = self.idle.len();
    (models < ENOUGH_MODELS).then(|| format!("{models} models, below {ENOUGH_MODELS}"))
  }

  /// A quantile of the waits for a load.
  pub fn cold_start(&self, part: f64) -> Figure {
    interval(&self.cold, |values| quantile(values, part))
  }

  /// Idle accelerator time, resampled by model.
  pub fn idle_time(&self) -> Figure {
    let by_model: Vec<f64> = self.idle.values().copied().collect();
    interval(&by_model, |values| values.iter().sum())
  }
}

fn seconds(ms: u64) -> f64 {
  ms as f64 / 1_000.0
}

/// The value below which `part` of the values lie; 0 without values.
pub fn quantile(values: &[f64], part: f64) -> f64 {
  let mut sorted = values.to_vec();
  sorted.sort_by(f64::total_cmp);
  let rank = (sorted.len() as f64 * part).ceil() as usize;
  let index = rank.saturating_sub(1).min(sorted.len().saturating_sub(1));
  sorted.get(index).copied().unwrap_or_default()
}

/// A statistic with its bootstrap interval; the same for the same values.
fn interval(values: &[f64], statistic: impl Fn(&[f64]) -> f64) -> Figure {
  let value = statistic(values);
  if values.is_empty() {
    return Figure {
      value,
      low: value,
      high: value,
    };
  }
  let mut rng = SmallRng::seed_from_u64(values.len() as u64);
  let mut resampled = Vec::with_capacity(RESAMPLES);
  for _ in 0..RESAMPLES {
    let draw = || values[rng.random_range(0..values.len())];
    let drawn: Vec<f64> = std::iter::repeat_with(draw).take(values.len()).collect();
    resampled.push(statistic(&drawn));
  }
  Figure {
    value,
    low: quantile(&resampled, 0.025),
    high: quantile(&resampled, 0.975),
  }
}

/// Prints both policies side by side, and draws them.
pub fn compare(
  rest: &[String],
  instance: &str,
  plot: Option<&Path>,
) -> Result<ExitCode, Report<Error>> {
  let [first, second] = rest else {
    return Err(Report::new(Error("compare: name two policies".into())));
  };
  let gathered = gather(instance)?;
  for member in &gathered.silent {
    eprintln!("{}: no answer; its share is missing", member.instance);
  }
  let lines = || gathered.lines.iter().map(|(_, line)| line);
  let samples = [
    (first.as_str(), Sample::new(lines(), first)),
    (second.as_str(), Sample::new(lines(), second)),
  ];
  print!("{}", table(&samples));
  if let Some(path) = plot {
    let failed = || Error(format!("could not draw `{}`", path.display()));
    draw(&samples, path).change_context_lazy(failed)?;
  }
  Ok(ExitCode::SUCCESS)
}

/// The comparison as text.
pub fn table(samples: &[(&str, Sample)]) -> String {
  let mut text = String::new();
  let mut row = |name: &str, cell: &dyn Fn(&Sample) -> String| {
    let cells = samples
      .iter()
      .map(|(_, sample)| format!("{:>28}", cell(sample)));
    text += &format!("{name:<24}{}\n", cells.collect::<String>());
  };
  let figure = |figure: Figure| {
    format!(
      "{:.3} [{:.3}, {:.3}]",
      figure.value, figure.low, figure.high
    )
  };
  row("requests", &|sample| sample.requests().to_string());
  row("cold starts", &|sample| sample.cold.len().to_string());
  for (name, part) in [("p50", 0.5), ("p95", 0.95), ("p99", 0.99)] {
    let name = format!("cold start {name}, s");
    row(&name, &|sample| figure(sample.cold_start(part)));
  }
  row("idle accelerator, s", &|sample| figure(sample.idle_time()));
  row("loads", &|sample| sample.loads.to_string());
  row("refusals", &|sample| sample.refusals.to_string());
  let names = samples.iter().map(|(name, _)| format!("{name:>28}"));
  let mut text = format!("{:<24}{}\n{text}", "policy", names.collect::<String>());
  for (name, sample) in samples {
    if let Some(why) = sample.too_small() {
      text += &format!("{name}: the sample is too small to judge: {why}\n");
    }
  }
  text
}

/// Draws the share of cold starts within each wait.
fn draw(
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
      .map(|(at, wait)| (*wait, (at + 1) as f64 / count));
    chart.draw_series(LineSeries::new(points, color))?;
  }
  area.present()
}
