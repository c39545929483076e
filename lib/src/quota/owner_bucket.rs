//! The tokens of one organisation that one owner hands out.

use std::time::Duration;
use std::time::Instant;

use crate::quota::owner_answer::OwnerAnswer;
use crate::quota::owner_terms::OwnerTerms;
use crate::quota::token_count::TokenCount;

/// The longest time after which a refused VM is asked to return. Another VM may have sent less than
/// expected by then.
const MAX_RETURN: Duration = Duration::from_secs(1);

/// The tokens of one organisation that one owner hands out.
#[derive(Clone, Copy, Debug)]
pub struct OwnerBucket {
    terms: OwnerTerms,
    /// Tokens saved at `at`.
    saved: f64,
    at: Instant,
    /// When the last of the VMs that have been refused returns.
    last_return: Option<Instant>,
}

impl OwnerBucket {
    /// Creates the bucket of an owner that has just started.
    pub fn new(now: Instant, terms: OwnerTerms) -> Self {
        Self {
            terms,
            saved: terms.start,
            at: now,
            last_return: None,
        }
    }

    /// Takes up to `want` tokens, under the terms that hold now.
    pub fn take(&mut self, now: Instant, terms: OwnerTerms, want: TokenCount) -> OwnerAnswer {
        self.settle(now, terms);
        let granted = (self.saved as u32).min(want.get());
        if granted == 0 {
            return OwnerAnswer::Empty(self.refuse(now));
        }
        self.saved -= f64::from(granted);
        OwnerAnswer::Granted(granted)
    }

    /// Returns the tokens saved.
    pub fn saved(&self, now: Instant) -> f64 {
        let earned = now.saturating_duration_since(self.at).as_secs_f64() * self.terms.rate;
        (self.saved + earned).min(self.terms.most)
    }

    /// Returns the terms of the last question.
    pub fn terms(&self) -> OwnerTerms {
        self.terms
    }

    /// Adds what has been earned under the old terms, and applies new ones.
    fn settle(&mut self, now: Instant, terms: OwnerTerms) {
        self.saved = self.saved(now).min(terms.most);
        self.at = self.at.max(now);
        self.terms = terms;
    }

    /// Returns the time after which a refused VM may ask again: each one has a time of its own, as far
    /// from the one before as the rate demands.
    fn refuse(&mut self, now: Instant) -> Duration {
        let seconds = |tokens: f64| {
            Duration::try_from_secs_f64(tokens / self.terms.rate).unwrap_or(MAX_RETURN)
        };
        let latest = now + MAX_RETURN;
        let own = now + seconds(1.0 - self.saved).min(MAX_RETURN);
        let step = seconds(1.0).min(MAX_RETURN);
        let behind = self.last_return.map_or(own, |last| (last + step).max(own));
        let at = behind.min(latest);
        self.last_return = Some(at);
        at.saturating_duration_since(now)
    }
}
