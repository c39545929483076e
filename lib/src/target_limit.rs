//! What a VM knows of a target's limit, and what it may still send.

use std::time::Duration;
use std::time::Instant;

use crate::limit_share::LimitShare;
use crate::request_rate::RequestRate;

/// How long after the last word of a limit a VM may use its turn to ask the target itself.
const RETEST_AGE: Duration = Duration::from_secs(20);
/// Share of its slots that a target uses at most if it keeps no request waiting.
const LIGHT_USE: f64 = 0.5;

/// The limit of one target.
///
/// Requests are taken from a saved amount that starts empty: before it heard of the limit, this VM
/// may have sent any number.
#[derive(Clone, Copy, Debug)]
pub struct TargetLimit {
    rate: RequestRate,
    share: LimitShare,
    /// When the limit was last heard of.
    heard: Instant,
    /// Requests that may be sent now, at `filled`.
    saved: f64,
    filled: Instant,
    /// The last turn that was used.
    used_turn: Option<u64>,
    /// When the limit ends for this VM, once it is known that the target names none any more.
    end: Option<Instant>,
}

impl TargetLimit {
    /// Creates the limit that was heard of at `heard`.
    pub fn new(now: Instant, heard: Instant, rate: RequestRate, share: LimitShare) -> Self {
        Self {
            rate,
            share,
            heard,
            saved: 0.0,
            filled: now,
            used_turn: None,
            end: None,
        }
    }

    /// Records that the limit was heard of again.
    pub fn hear(&mut self, now: Instant, heard: Instant, rate: RequestRate, share: LimitShare) {
        self.set_share(now, share);
        self.rate = rate;
        self.heard = self.heard.max(heard);
        self.end = None;
    }

    /// Replaces this VM's part.
    pub fn set_share(&mut self, now: Instant, share: LimitShare) {
        self.saved = self.saved_at(now).min(share.burst);
        self.filled = now;
        self.share = share;
    }

    /// Records that the limit ends at `at` for this VM.
    pub fn end_at(&mut self, at: Instant) {
        self.end.get_or_insert(at);
    }

    /// Returns whether the limit has ended.
    pub fn has_ended(&self, now: Instant) -> bool {
        self.end.is_some_and(|end| end <= now)
    }

    /// Returns the rate that the target named.
    pub fn rate(&self) -> RequestRate {
        self.rate
    }

    /// Returns this VM's part.
    pub fn share(&self) -> LimitShare {
        self.share
    }

    /// Returns when the limit was last heard of.
    pub fn heard(&self) -> Instant {
        self.heard
    }

    /// Returns whether a request may be sent. `wall` is the time since the Unix epoch.
    pub fn is_open(&self, now: Instant, wall: Duration) -> bool {
        self.has_ended(now) || self.saved_at(now) >= 1.0 || self.open_turn(now, wall).is_some()
    }

    /// Takes a request. Returns false if none may be sent.
    pub fn take(&mut self, now: Instant, wall: Duration) -> bool {
        if self.has_ended(now) {
            return true;
        }
        self.saved = self.saved_at(now);
        self.filled = now;
        if self.saved >= 1.0 {
            self.saved -= 1.0;
            return true;
        }
        let turn = self.open_turn(now, wall);
        self.used_turn = turn.or(self.used_turn);
        turn.is_some()
    }

    /// Returns the time until a request may be sent from this VM's part; nothing if it has none.
    pub fn next_in(&self, now: Instant) -> Option<Duration> {
        let missing = (1.0 - self.saved_at(now)).max(0.0);
        Duration::try_from_secs_f64(missing / self.share.rate).ok()
    }

    /// Returns whether the limit is so low that the target is mostly idle, if requests take `work`.
    pub fn is_light(&self, work: Duration, slots: u32) -> bool {
        self.rate.per_second() * work.as_secs_f64() <= f64::from(slots) * LIGHT_USE
    }

    fn saved_at(&self, now: Instant) -> f64 {
        let time = now.saturating_duration_since(self.filled).as_secs_f64();
        (self.saved + time * self.share.rate).min(self.share.burst)
    }

    fn open_turn(&self, now: Instant, wall: Duration) -> Option<u64> {
        let is_old = now.saturating_duration_since(self.heard) >= RETEST_AGE;
        let turn = self.share.turn_at(wall).filter(|_| is_old);
        turn.filter(|turn| self.used_turn != Some(*turn))
    }
}
