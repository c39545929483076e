//! One owner's share of a quota.

use crate::access::quota::Quota;
use crate::quota::quota_bounds::QuotaBounds;

/// The part of the slack that owners may save in addition to the burst, all of them together. The rest
/// covers owners that start again and grant these tokens once more.
const SAVED_SLACK: f64 = 0.25;
/// The least that an owner may save: with less it could never grant a token.
const MIN_SAVED: f64 = 1.0;

/// One owner's share of a quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwnerTerms {
    /// Tokens per second.
    pub rate: f64,
    /// Tokens that the owner may have saved.
    pub most: f64,
    /// Tokens that it has when it starts. Its last process may have handed out the rest.
    pub start: f64,
}

impl OwnerTerms {
    /// Returns the share of one of `owners` owners.
    pub fn new(quota: Quota, bounds: &QuotaBounds, owners: usize) -> Self {
        let part = 1.0 / owners.max(1) as f64;
        let slack = bounds.slack * SAVED_SLACK;
        let burst = f64::from(quota.burst.get());
        Self {
            rate: quota.rate.per_second() * part,
            most: ((burst + slack) * part).max(MIN_SAVED),
            start: slack * part,
        }
    }
}
