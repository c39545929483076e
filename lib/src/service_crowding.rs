//! How much longer work takes on crowded targets, for each service.

use std::collections::HashMap;
use std::time::Instant;

use crate::crowding::Crowding;
use crate::crowding_estimate::CrowdingEstimate;
use crate::service_id::ServiceId;

/// The estimates of all services.
#[derive(Clone, Debug, Default)]
pub struct ServiceCrowding {
    services: HashMap<ServiceId, CrowdingEstimate>,
    /// The crowding of the targets of all services, which is assumed for a service without evidence.
    common: CrowdingEstimate,
}

impl ServiceCrowding {
    /// Records that a request, which started on a target of the service with `running` others, took
    /// `ratio` times as long as on an idle target.
    pub fn observe(
        &mut self,
        now: Instant,
        service: &ServiceId,
        running: u32,
        slots: u32,
        ratio: f64,
    ) {
        let estimate = self.services.entry(service.clone()).or_default();
        estimate.observe(now, running, slots, ratio);
        self.common.observe(now, running, slots, ratio);
    }

    /// Returns the estimate for a service.
    pub fn get(&self, now: Instant, service: &ServiceId) -> Crowding {
        let common = self.common.get(now, &Crowding::default());
        let estimate = self.services.get(service);
        estimate.map_or(common, |estimate| estimate.get(now, &common))
    }

    /// Returns whether a request should use one slot more than `limit`, to learn whether that pays.
    pub fn start_trial(
        &mut self,
        now: Instant,
        service: &ServiceId,
        limit: u32,
        slots: u32,
    ) -> bool {
        let estimate = self.services.get(service);
        limit < slots
            && estimate.is_none_or(|estimate| estimate.is_uncertain(now, limit, slots))
            && self.common.start_trial()
    }
}
