//! Label selectors with equality-based and set-based requirements.

use litemap::LiteMap;
use serde::{Deserialize, Serialize};

/// Labels of an object, stored in a sorted list because they are few.
pub type Labels = LiteMap<String, String>;

/// Operator of a set-based requirement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operator {
  In,
  NotIn,
  Exists,
  DoesNotExist,
}

/// A set-based requirement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Expression {
  pub key: String,
  pub operator: Operator,
  #[serde(default)]
  pub values: Vec<String>,
}

impl Expression {
  fn matches(&self, labels: &Labels) -> bool {
    let value = labels.get(&self.key);
    let listed = value.is_some_and(|value| self.values.contains(value));
    match self.operator {
      Operator::In => listed,
      Operator::NotIn => !listed,
      Operator::Exists => value.is_some(),
      Operator::DoesNotExist => value.is_none(),
    }
  }
}

/// Selects objects by label; an empty selector selects all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct Selector {
  #[serde(default)]
  pub match_labels: Labels,
  #[serde(default)]
  pub match_expressions: Vec<Expression>,
}

impl Selector {
  /// Whether `labels` meet every requirement.
  pub fn matches(&self, labels: &Labels) -> bool {
    self
      .match_labels
      .iter()
      .all(|(key, value)| labels.get(key) == Some(value))
      && self
        .match_expressions
        .iter()
        .all(|expression| expression.matches(labels))
  }

  /// The first validation error; `None` if the selector is valid.
  pub fn validation_error(&self) -> Option<String> {
    self.match_expressions.iter().find_map(|expression| {
      let needs_values = matches!(expression.operator, Operator::In | Operator::NotIn);
      (needs_values == expression.values.is_empty()).then(|| {
        format!(
          "matchExpressions: operator `{:?}` on key `{}` does not accept {} values",
          expression.operator,
          expression.key,
          expression.values.len()
        )
      })
    })
  }
}
