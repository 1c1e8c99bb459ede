//! Compares the measured slopes with the limits for the size expected in two years.

use serde_json::{Value, json};
use stand_ins::{budget, capacity::fit};

fn measured() -> Value {
  let text = std::fs::read_to_string("docs/capacity.json").unwrap();
  serde_json::from_str(&text).unwrap()
}

#[test]
fn the_measured_slopes_keep_within_the_limits() {
  assert_eq!(budget::exceeded(&measured()), Vec::<String>::new());
}

#[test]
fn every_part_has_several_points() {
  for part in [
    "instances",
    "models",
    "servers",
    "changes",
    "wakes",
    "requests",
    "claims",
  ] {
    let points = measured()[part]
      .as_array()
      .map(Vec::len)
      .unwrap_or_default();
    assert!(points >= 3, "{part}: {points} points");
  }
}

#[test]
fn a_steeper_slope_breaks_a_limit() {
  let mut measured = measured();
  for row in measured["models"].as_array_mut().unwrap() {
    let memory = row["memoryMb"].as_f64().unwrap();
    row["memoryMb"] = json!(memory * 10.0);
  }
  let violations = budget::exceeded(&measured);
  assert!(
    violations.iter().any(|text| text.starts_with("memory")),
    "{violations:?}"
  );
}

#[test]
fn the_page_holds_the_table_that_the_slopes_give() {
  let page = std::fs::read_to_string("docs/CAPACITY.md").unwrap();
  assert!(
    page.contains(&budget::table(&measured())),
    "{}",
    budget::table(&measured())
  );
}

#[test]
fn a_line_through_points_is_found() {
  let (slope, intercept) = fit(&[(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)]);
  assert!((slope - 2.0).abs() < 1e-9 && (intercept - 1.0).abs() < 1e-9);
}
