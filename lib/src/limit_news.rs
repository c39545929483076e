//! What VMs tell each other of the limits that targets name.
//!
//! A VM that may hardly send to a target learns from the others of its failure domain that a limit
//! has changed or ended.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::request_rate::RequestRate;
use crate::target_id::TargetId;

/// How long news is passed on.
const MAX_AGE: Duration = Duration::from_secs(30);
/// Largest number of targets in one message.
const MAX_TARGETS: usize = 64;
/// Stands for a limit that has ended.
const ENDED: &str = "none";

/// The last word of one target's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeardLimit {
    /// The limit, or nothing if the target names none any more.
    pub rate: Option<RequestRate>,
    /// When a VM heard this from the target.
    pub at: Instant,
}

/// The last word of each target's limit, from this VM and others.
#[derive(Clone, Debug, Default)]
pub struct LimitNews(BTreeMap<TargetId, HeardLimit>);

impl LimitNews {
    /// Records what was heard. Returns whether it is newer than what was known.
    pub fn hear(&mut self, target: &TargetId, heard: HeardLimit) -> bool {
        let known = self.0.get(target);
        let is_newer = known.is_none_or(|known| known.at < heard.at);
        if is_newer {
            self.0.insert(target.clone(), heard);
        }
        is_newer
    }

    /// Returns the last word of a target's limit.
    pub fn get(&self, target: &TargetId) -> Option<HeardLimit> {
        self.0.get(target).copied()
    }

    /// Returns the message to other VMs, and forgets what is too old.
    pub fn message(&mut self, now: Instant) -> String {
        self.0
            .retain(|_, heard| now.saturating_duration_since(heard.at) < MAX_AGE);
        let mut newest: Vec<_> = self.0.iter().collect();
        newest.sort_by_key(|(_, heard)| std::cmp::Reverse(heard.at));
        let entries = newest.into_iter().take(MAX_TARGETS).map(|(target, heard)| {
            let age = now.saturating_duration_since(heard.at).as_millis();
            match heard.rate {
                Some(rate) => format!("{target}={}@{age}", rate.per_second()),
                None => format!("{target}={ENDED}@{age}"),
            }
        });
        entries.collect::<Vec<_>>().join(",")
    }

    /// Records the message of another VM. Returns the targets of which it says something newer;
    /// entries that cannot be read are ignored.
    pub fn read(&mut self, now: Instant, message: &str) -> Vec<TargetId> {
        let entries = message.split(',').take(MAX_TARGETS);
        let heard = entries.filter_map(|entry| parse_entry(now, entry));
        heard
            .filter(|(target, heard)| self.hear(target, *heard))
            .map(|(target, _)| target)
            .collect()
    }
}

fn parse_entry(now: Instant, entry: &str) -> Option<(TargetId, HeardLimit)> {
    let (target, rest) = entry.split_once('=')?;
    let (rate, age) = rest.split_once('@')?;
    let age = Duration::from_millis(age.parse().ok()?);
    let heard = HeardLimit {
        rate: match rate {
            ENDED => None,
            rate => Some(rate.parse().ok()?),
        },
        at: now.checked_sub(age).filter(|_| age < MAX_AGE)?,
    };
    Some((target.parse().ok()?, heard))
}
