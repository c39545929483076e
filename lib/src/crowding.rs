//! How much longer work takes on a target that runs other requests.

/// The utilization of a target is divided into this many levels.
pub(crate) const LEVELS: usize = 12;
/// The assumed factor on the last free slot before anything is known, because some targets slow
/// down when nearly full.
const INITIAL_LAST_FACTOR: f64 = 1.5;
/// One more slot is used only if it adds at least this part of what it would add on a target that
/// does not slow down; otherwise it mostly makes each request slower.
const MIN_GAIN: f64 = 0.6;
/// At least this part of the slots is used, whatever the measurements say.
const MIN_USED: f64 = 2.0 / 3.0;

/// The duration of work relative to that on an idle target, by the utilization at its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Crowding {
    factors: [f64; LEVELS],
}

impl Default for Crowding {
    fn default() -> Self {
        let mut factors = [1.0; LEVELS];
        factors[LEVELS - 1] = INITIAL_LAST_FACTOR;
        Self { factors }
    }
}

impl Crowding {
    /// Creates a crowding from the factors of all levels.
    pub(crate) fn new(factors: [f64; LEVELS]) -> Self {
        Self { factors }
    }

    /// Returns the level of a request that starts on a target with `running` other requests.
    pub(crate) fn level(running: u32, slots: u32) -> usize {
        let slots = slots.max(1) as usize;
        let used = (running as usize + 1).min(slots);
        if slots == 1 {
            return 0;
        }
        (used * LEVELS).div_ceil(slots) - 1
    }

    /// Returns the factor at a level.
    pub(crate) fn at_level(&self, level: usize) -> f64 {
        self.factors[level]
    }

    /// Returns the factor for a request that starts on a target with `held` other requests, an
    /// expected number that need not be whole.
    pub fn factor(&self, held: f64, slots: u32) -> f64 {
        let held = held.clamp(0.0, f64::from(slots.max(1) - 1));
        let below = self.factors[Self::level(held.floor() as u32, slots)];
        let above = self.factors[Self::level(held.ceil() as u32, slots)];
        below + (above - below) * held.fract()
    }

    /// Returns how many slots to use at the same time, so that a target that always has work
    /// finishes most requests: by Little's law, their number divided by their duration.
    pub fn limit(&self, slots: u32) -> u32 {
        let rate = |used: u32| f64::from(used) / self.factors[Self::level(used - 1, slots)];
        let pays = |used: u32| rate(used) / rate(used - 1) - 1.0 >= MIN_GAIN / f64::from(used - 1);
        let min_used = ((f64::from(slots) * MIN_USED).ceil() as u32).max(1);
        (min_used..slots)
            .find(|used| !pays(used + 1))
            .unwrap_or(slots)
    }
}
