//! What is in progress while a process exits.

use bendsaddle::activity::Activity;

/// Guards against a request that is read and not answered, because the process exits meanwhile.
#[test]
fn nothing_begins_once_the_process_exits() {
  let activity = Activity::default();
  let first = activity.begin();
  assert!(first.is_some());
  assert!(!activity.close_if_idle());
  let second = activity.begin();
  assert!(second.is_some(), "the process does not exit yet");
  drop((first, second));
  assert!(activity.close_if_idle());
  assert!(activity.begin().is_none());
  assert_eq!(activity.count(), 0);
}

/// The same for a process that exits at the end of its grace period.
#[test]
fn nothing_begins_after_the_grace_period() {
  let activity = Activity::default();
  let first = activity.begin();
  activity.close();
  assert!(activity.begin().is_none());
  assert_eq!(activity.count(), 1);
  drop(first);
  assert_eq!(activity.count(), 0);
}
