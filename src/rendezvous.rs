//! Rendezvous (highest random weight) hashing: which member normally owns a key.

use xxhash_rust::xxh3::xxh3_64_with_seed;

fn weight(member: &str, key: u64) -> u64 {
  xxh3_64_with_seed(member.as_bytes(), key)
}

fn seed(key: &str) -> u64 {
  xxh3_64_with_seed(key.as_bytes(), 0)
}

/// The member with the highest weight for `key`; `None` without members.
pub fn owner<'a>(members: &'a [String], key: &str) -> Option<&'a str> {
  let seed = seed(key);
  members
    .iter()
    .max_by_key(|member| weight(member, seed))
    .map(String::as_str)
}

/// Whether `member` is among the `count` members with the highest weights for `key`.
pub fn is_top_ranked(members: &[String], key: &str, member: &str, count: usize) -> bool {
  let seed = seed(key);
  let own_weight = weight(member, seed);
  let higher = members
    .iter()
    .filter(|other| *other != member && weight(other, seed) > own_weight);
  higher.count() < count
}

/// The `count` members with the highest weights for `key`, in descending order.
pub fn top_ranked(members: &[String], key: &str, count: usize) -> Vec<String> {
  let seed = seed(key);
  let mut ranked: Vec<_> = members.to_vec();
  ranked.sort_by_key(|member| std::cmp::Reverse(weight(member, seed)));
  ranked.truncate(count);
  ranked
}
