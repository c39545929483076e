//! How many of a target's slots are in use.

use std::time::Duration;
use std::time::Instant;

use serde::Serialize;

/// Good responses after which a target in ramp-up gets one more slot.
const RESPONSES_PER_SLOT: u32 = 2;
/// How long a target that shed load keeps its lower limit before it regains one slot.
const REGAIN_PAUSE: Duration = Duration::from_secs(1);

/// The limit of a target's requests in flight: from one slot up to the configured number.
#[derive(Clone, Debug, Serialize)]
pub struct Ramp {
    configured: u32,
    limit: u32,
    good: u32,
    #[serde(skip)]
    shed: Option<Instant>,
}

impl Ramp {
    /// Starts with one slot, because a cold target serves its first requests slowly.
    pub fn cold(configured: u32) -> Self {
        Self {
            configured,
            limit: 1,
            good: 0,
            shed: None,
        }
    }

    /// Starts with all slots.
    pub fn warm(configured: u32) -> Self {
        Self {
            limit: configured,
            ..Self::cold(configured)
        }
    }

    /// Returns how many requests may be in flight.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns the configured slots.
    pub fn configured(&self) -> u32 {
        self.configured
    }

    /// Takes over a new number of configured slots. A target that had all of its slots keeps all.
    pub fn configure(&mut self, configured: u32) {
        if self.limit == self.configured || self.limit > configured {
            self.limit = configured;
        }
        self.configured = configured;
    }

    /// Goes back to one slot.
    pub fn restart(&mut self) {
        *self = Self::cold(self.configured);
    }

    /// Counts a good response.
    pub fn record_success(&mut self, now: Instant) {
        if self.limit >= self.configured {
            return;
        }
        self.good += 1;
        let pause = self.shed.map(|shed| shed + REGAIN_PAUSE);
        if pause.is_some_and(|end| now < end) || self.good < RESPONSES_PER_SLOT {
            return;
        }
        self.limit += 1;
        self.good = 0;
        self.shed = self.shed.map(|_| now);
    }

    /// Takes in that the target refused a request while it worked on `others` of this pool's.
    pub fn record_shed(&mut self, now: Instant, others: u32) {
        self.limit = others.clamp(1, self.limit);
        self.good = 0;
        self.shed = Some(now);
    }
}
