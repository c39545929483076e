//! What targets themselves say about getting requests.
//!
//! Guards targets that are leaving, or that have asked for a pause, against further requests of
//! this VM. A target's own word comes before its announcement in the store, which may be late or
//! cannot be read. It is kept while the announcement is missing, and ends with a newer generation of
//! the target: a new start.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;
use std::time::Instant;

use crate::drain_signal::DrainSignal;
use crate::requested_pause::RequestedPause;
use crate::target_id::TargetId;

/// The number of targets of which signals are kept.
const MAX_TARGETS: usize = 4_096;
/// After a pause, the VMs return to the target over this part of its length, so that they do not
/// all return at once, and over this time at most.
const RETURN_DIVISOR: u32 = 2;
const MAX_RETURN_TIME: Duration = Duration::from_secs(2);

/// Why a target gets no requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Unavailable {
    /// It wants none for this long.
    Paused(Duration),
    /// It is leaving.
    Leaving,
    /// Its failure domain is evacuated.
    Evacuated,
    /// It is outside the regions in which the request may be handled.
    OutsideRegions,
}

impl fmt::Display for Unavailable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Paused(left) => write!(f, "paused for {} ms", left.as_millis()),
            Self::Leaving => f.write_str("leaving"),
            Self::Evacuated => f.write_str("in an evacuated domain"),
            Self::OutsideRegions => f.write_str("outside the allowed regions"),
        }
    }
}

/// The signals of one target.
#[derive(Clone, Copy, Debug, Default)]
struct Signals {
    drain: DrainSignal,
    /// When this VM sends requests again.
    paused_until: Option<Instant>,
}

impl Signals {
    /// Forgets an earlier generation than `generation`. Returns false if that is itself an earlier
    /// one.
    fn advance(&mut self, generation: u64) -> bool {
        if generation > self.drain.generation() {
            *self = Self {
                drain: DrainSignal::new(generation),
                paused_until: None,
            };
        }
        generation == self.drain.generation()
    }

    fn is_over(&self, now: Instant) -> bool {
        let is_paused = self.paused_until.is_some_and(|until| now < until);
        !is_paused && !self.drain.is_received()
    }
}

/// The signals of all targets.
#[derive(Clone, Debug, Default)]
pub struct TargetSignals(BTreeMap<TargetId, Signals>);

impl TargetSignals {
    /// Records which generation of a target is announced now. What another one has said is forgotten,
    /// also that of a later one: another writer may have announced it.
    pub fn announced(&mut self, target: &TargetId, generation: u64) {
        let known = self.0.get(target);
        if known.is_some_and(|known| known.drain.generation() != generation) {
            self.0.remove(target);
        }
    }

    /// Records that a generation of a target has said that it is leaving. Returns whether this is
    /// new.
    pub fn leaving(&mut self, now: Instant, target: &TargetId, generation: u64) -> bool {
        let signals = self.entry(now, target, generation);
        signals.advance(generation) && signals.drain.receive(generation)
    }

    /// Records that a generation of a target wants no requests for a while. `position`, from 0 to 1,
    /// is this VM's place in the order in which the VMs return. Returns whether the target was not
    /// paused before.
    pub fn paused(
        &mut self,
        now: Instant,
        target: &TargetId,
        generation: u64,
        pause: RequestedPause,
        position: f64,
    ) -> bool {
        let signals = self.entry(now, target, generation);
        if !signals.advance(generation) {
            return false;
        }
        let pause = pause.duration();
        let return_time = (pause / RETURN_DIVISOR).min(MAX_RETURN_TIME);
        let until = now + pause + return_time.mul_f64(position.clamp(0.0, 1.0));
        let was_paused = signals.paused_until.is_some_and(|until| now < until);
        signals.paused_until = signals.paused_until.max(Some(until));
        !was_paused && until > now
    }

    /// Returns why the announced generation of a target gets no requests now; nothing if it may get
    /// some.
    pub fn unavailable(
        &self,
        now: Instant,
        target: &TargetId,
        generation: u64,
    ) -> Option<Unavailable> {
        let signals = self.0.get(target)?;
        if signals.drain.generation() != generation {
            return None;
        }
        if signals.drain.is_received() {
            return Some(Unavailable::Leaving);
        }
        let left = signals.paused_until?.checked_duration_since(now)?;
        (!left.is_zero()).then_some(Unavailable::Paused(left))
    }

    /// Returns the signals of a target, after making room for one more.
    fn entry(&mut self, now: Instant, target: &TargetId, generation: u64) -> &mut Signals {
        if self.0.len() >= MAX_TARGETS && !self.0.contains_key(target) {
            self.make_room(now);
        }
        self.0.entry(target.clone()).or_insert(Signals {
            drain: DrainSignal::new(generation),
            paused_until: None,
        })
    }

    /// Removes what has no effect any more, or else the target that started first.
    fn make_room(&mut self, now: Instant) {
        self.0.retain(|_, signals| !signals.is_over(now));
        if self.0.len() < MAX_TARGETS {
            return;
        }
        let oldest = self
            .0
            .iter()
            .min_by_key(|(_, signals)| signals.drain.generation());
        if let Some((target, _)) = oldest {
            let target = target.clone();
            self.0.remove(&target);
        }
    }
}
