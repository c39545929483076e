//! How many of the next targets are worth asking.

use crate::check_value::prospect::Prospect;

/// The price of a health check in milliseconds of a request's time: the round trip between domains,
/// rounded up for the work of the target.
const CHECK_PRICE_MS: f64 = 2.0;
/// The same while this VM's share of the health checks runs low.
const SCARCE_PRICE_MS: f64 = 8.0;

/// Weighs the improvement by further checks against their price.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CheckPlan {
    price: f64,
}

impl CheckPlan {
    /// Creates a plan. `scarce` says whether the VM's share of the checks runs low.
    pub fn new(scarce: bool) -> Self {
        let price = match scarce {
            true => SCARCE_PRICE_MS,
            false => CHECK_PRICE_MS,
        };
        Self { price }
    }

    /// Returns how many of the targets to ask at the same time, the first ones of `next`, which is
    /// ordered by mean. `known` is the best time on a target that has a free slot by a recent report.
    ///
    /// Without one, the first target is always asked, because it may be full. Each further check counts
    /// only for what it adds to the ones before.
    pub fn count(&self, known: Option<f64>, next: &[Prospect]) -> usize {
        let Some(first) = next.first() else {
            return 0;
        };
        let (mut best, mut count) = match known {
            Some(known) => (known, 0),
            None => (first.mean, 1),
        };
        for prospect in &next[count..] {
            let gain = prospect.improvement(best);
            if gain <= self.price {
                break;
            }
            best -= gain;
            count += 1;
        }
        count
    }
}
