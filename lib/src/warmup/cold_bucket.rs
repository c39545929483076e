//! The requests that one VM may send to a cold target.

use std::time::Duration;
use std::time::Instant;

use crate::warmup::cold_share::ColdShare;

/// The requests that one VM may send to a cold target, saved at the rate of its share.
#[derive(Clone, Copy, Debug)]
pub struct ColdBucket {
    share: ColdShare,
    /// Requests that may be sent, at `filled`.
    saved: f64,
    filled: Instant,
}

impl ColdBucket {
    /// Creates a bucket: with the whole burst if this VM has surely sent nothing in the last second
    /// (`is_quiet`), otherwise with nothing.
    pub fn new(now: Instant, share: ColdShare, is_quiet: bool) -> Self {
        Self {
            share,
            saved: if is_quiet { share.burst } else { 0.0 },
            filled: now,
        }
    }

    /// Replaces this VM's part. What was saved stays as far as the new part allows.
    pub fn set_share(&mut self, now: Instant, share: ColdShare) {
        self.saved = self.saved_at(now).min(share.burst);
        self.filled = now;
        self.share = share;
    }

    /// Returns this VM's part.
    pub fn share(&self) -> ColdShare {
        self.share
    }

    /// Returns whether a request may be sent.
    pub fn is_open(&self, now: Instant) -> bool {
        self.saved_at(now) >= 1.0
    }

    /// Takes a request. Returns false if none may be sent.
    pub fn take(&mut self, now: Instant) -> bool {
        let saved = self.saved_at(now);
        let is_open = saved >= 1.0;
        self.saved = if is_open { saved - 1.0 } else { saved };
        self.filled = self.filled.max(now);
        is_open
    }

    /// Returns the time until a request may be sent; nothing if the share allows none.
    pub fn next_in(&self, now: Instant) -> Option<Duration> {
        if self.share.burst < 1.0 {
            return None;
        }
        let missing = (1.0 - self.saved_at(now)).max(0.0);
        Duration::try_from_secs_f64(missing / self.share.rate).ok()
    }

    fn saved_at(&self, now: Instant) -> f64 {
        let time = now.saturating_duration_since(self.filled).as_secs_f64();
        (self.saved + time * self.share.rate).min(self.share.burst)
    }
}
