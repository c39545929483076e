//! Divides requests between the parts of a route by their weights.

use crate::route_part::RoutePart;

/// Smooth weighted round-robin: after any number of requests, each part has had its share to within
/// one request. A random choice would need thousands of requests for the same precision.
#[derive(Clone, Debug)]
pub struct WeightedSplit {
    weights: Vec<u32>,
    credits: Vec<i64>,
}

impl WeightedSplit {
    /// Creates a split that skips its first `skip` assignments, so that VMs that start at the same
    /// moment do not all send their first requests to the same part.
    pub fn new(parts: &[RoutePart], skip: u32) -> Self {
        let mut split = Self {
            weights: parts.iter().map(|part| part.weight).collect(),
            credits: vec![0; parts.len()],
        };
        for _ in 0..skip {
            split.assign();
        }
        split
    }

    /// Returns whether the split has the weights of the parts.
    pub fn fits(&self, parts: &[RoutePart]) -> bool {
        let weights = parts.iter().map(|part| part.weight);
        self.weights.iter().copied().eq(weights)
    }

    /// Returns the index of the part that gets the next request.
    pub fn assign(&mut self) -> usize {
        let total: i64 = self.weights.iter().copied().map(i64::from).sum();
        for (credit, weight) in self.credits.iter_mut().zip(&self.weights) {
            *credit += i64::from(*weight);
        }
        let best =
            (0..self.credits.len()).max_by_key(|index| (self.credits[*index], usize::MAX - index));
        let best = best.unwrap_or(0);
        if let Some(credit) = self.credits.get_mut(best) {
            *credit -= total;
        }
        best
    }
}
