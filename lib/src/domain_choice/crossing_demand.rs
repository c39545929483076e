//! What a request needs, for the comparison of failure domains.

use std::time::Duration;

use crate::crowding::Crowding;
use crate::domain_choice::crossing_price::CrossingPrice;

/// A request that may leave its failure domain.
#[derive(Clone, Debug)]
pub struct CrossingDemand {
    /// The expected time on an idle, quiet target.
    pub work: Duration,
    /// The size of the request and its response, in bytes.
    pub bytes: usize,
    /// The price of these bytes.
    pub price: CrossingPrice,
    /// The usual number of slots of a target of the service.
    pub slots: u32,
    /// How much longer work takes on targets that run other requests.
    pub crowding: Crowding,
}

impl CrossingDemand {
    /// Returns the expected gain, in milliseconds, of leaving a domain with `own` requests per slot
    /// for one with `other`: the time saved less the round trip and the price of the bytes.
    pub fn gain_ms(&self, own: f64, other: f64, round_trip: Duration) -> f64 {
        let saved = (self.factor(own) - self.factor(other)) * self.work.as_secs_f64();
        let paid = round_trip + self.price.delay(self.bytes);
        (saved - paid.as_secs_f64()) * 1_000.0
    }

    /// Returns the expected time as a multiple of the work, on a target with the given load per slot.
    fn factor(&self, load: f64) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let held = load * slots;
        let queued = (held - (slots - 1.0)).max(0.0) / slots;
        self.crowding.factor(held, self.slots) + queued
    }
}
