//! The limit on a target's requests in flight, which ramps up from one slot.

use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

/// Successful responses after which a target in ramp-up gets one more slot.
const RESPONSES_PER_SLOT: u32 = 2;
/// How long a target that shed load keeps its lowered limit before each slot that it regains.
const REGAIN_PAUSE: Duration = Duration::from_secs(1);

/// The limit on a target's requests in flight, from one up to the configured slots.
#[derive(Clone, Debug, Serialize)]
pub struct Ramp {
    configured: u32,
    limit: u32,
    good: u32,
    #[serde(skip)]
    shed: Option<Instant>,
}

impl Ramp {
    /// Creates a limit of one slot, because a cold target serves its first requests slowly.
    pub fn cold(configured: u32) -> Self {
        Self {
            configured,
            limit: 1,
            good: 0,
            shed: None,
        }
    }

    /// Creates a limit of all configured slots.
    pub fn warm(configured: u32) -> Self {
        Self {
            limit: configured,
            ..Self::cold(configured)
        }
    }

    /// Returns how many requests may be in flight at the moment.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns the configured slots, the upper bound of the limit.
    pub fn configured(&self) -> u32 {
        self.configured
    }

    /// Sets the number of configured slots. A limit at the old number moves to the new one; a
    /// higher limit than the new number is lowered.
    pub fn configure(&mut self, configured: u32) {
        if self.limit == self.configured || self.limit > configured {
            self.limit = configured;
        }
        self.configured = configured;
    }

    /// Restarts the ramp-up from one slot.
    pub fn restart(&mut self) {
        *self = Self::cold(self.configured);
    }

    /// Records a successful response, which may raise the limit by one slot.
    pub fn record_success(&mut self, now: Instant) {
        if self.limit >= self.configured {
            return;
        }
        self.good += 1;
        let pause_end = self.shed.map(|shed| shed + REGAIN_PAUSE);
        if pause_end.is_some_and(|end| now < end) || self.good < RESPONSES_PER_SLOT {
            return;
        }
        self.limit += 1;
        self.good = 0;
        self.shed = self.shed.map(|_| now);
    }

    /// Records that the target shed a request while `others` of this pool's were in flight on it,
    /// and lowers the limit to these.
    pub fn record_shed(&mut self, now: Instant, others: u32) {
        self.limit = others.clamp(1, self.limit);
        self.good = 0;
        self.shed = Some(now);
    }
}
