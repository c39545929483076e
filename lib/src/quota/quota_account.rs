//! What a VM knows of one organisation's quota, and the tokens that it holds.

use std::time::Duration;
use std::time::Instant;

use crate::decaying_average;
use crate::quota::owner_answer::OwnerAnswer;
use crate::quota::owner_contact::OwnerContact;
use crate::quota::owner_pools::Owner;
use crate::quota::quota_step::QuotaStep;
use crate::quota::quota_token::QuotaToken;
use crate::quota::token_count::TokenCount;
use crate::quota::token_counters::TokenCounters;

/// When a caller may return if no owner answers.
const UNKNOWN_RETURN: Duration = Duration::from_millis(500);
/// The latest time at which a refused caller is asked to return.
const MAX_RETURN: Duration = Duration::from_secs(2);

/// What a VM knows of one organisation's quota, and the tokens that it holds.
#[derive(Clone, Debug)]
pub struct QuotaAccount {
    /// How long a token is valid.
    lifetime: Duration,
    /// The tokens held, the one that expires first at the front.
    tokens: Vec<QuotaToken>,
    /// The owners, in the order in which they are asked.
    owners: Vec<OwnerContact>,
    /// Requests, of which half are forgotten in each lifetime of a token.
    arrivals: f64,
    arrived: Instant,
    /// Callers refused by this VM itself since an owner was last asked.
    refused: u32,
    counters: TokenCounters,
}

impl QuotaAccount {
    /// Creates the account of a VM that has not asked for a token. The owners are asked in this order.
    pub fn new(now: Instant, lifetime: Duration, owners: Vec<Owner>) -> Self {
        Self {
            lifetime,
            tokens: Vec::new(),
            owners: owners.into_iter().map(OwnerContact::new).collect(),
            arrivals: 0.0,
            arrived: now,
            refused: 0,
            counters: TokenCounters::default(),
        }
    }

    /// Replaces the owners. What is known of those that remain is kept.
    pub fn set_owners(&mut self, owners: Vec<Owner>) {
        let known = std::mem::take(&mut self.owners);
        let contact = |owner: Owner| {
            let same = known.iter().find(|contact| contact.owner == owner);
            same.cloned().unwrap_or_else(|| OwnerContact::new(owner))
        };
        self.owners = owners.into_iter().map(contact).collect();
    }

    /// Counts a request that needs a token.
    pub fn arrive(&mut self, now: Instant) {
        self.arrivals = self.recent_arrivals(now) + 1.0;
        self.arrived = now;
    }

    /// Decides what to do for a request that needs a token, one of `waiting`. Takes a token if one is
    /// held.
    pub fn step(&mut self, now: Instant, waiting: u32) -> QuotaStep {
        self.drop_expired(now);
        if !self.tokens.is_empty() {
            return QuotaStep::Token(self.tokens.remove(0));
        }
        let mut contacts = self.owners.iter();
        if let Some(contact) = contacts.find(|contact| contact.pause(now).is_none()) {
            return QuotaStep::Ask(contact.owner.clone(), self.wanted(now, waiting));
        }
        let empty = self.owners.iter().filter(|contact| contact.is_empty());
        let next = empty.filter_map(|contact| contact.pause(now)).min();
        match next {
            Some(next) => QuotaStep::Exceeded(self.refuse(next)),
            None => QuotaStep::Unknown(UNKNOWN_RETURN),
        }
    }

    /// Records the answer of an owner to a question that was asked at `asked`. Tokens count from then,
    /// so that a late answer does not prolong them.
    pub fn hear(&mut self, now: Instant, owner: &str, asked: Instant, answer: OwnerAnswer) {
        let mut contacts = self.owners.iter_mut();
        if let Some(contact) = contacts.find(|contact| *contact.owner.name == *owner) {
            contact.hear(now, answer);
        }
        self.refused = 0;
        match answer {
            OwnerAnswer::Granted(count) => {
                self.counters.granted += u64::from(count);
                let expires = asked + self.lifetime;
                (0..count).for_each(|_| self.hold(QuotaToken { expires }));
                self.drop_expired(now);
            }
            OwnerAnswer::Empty(_) => self.counters.refused += 1,
            OwnerAnswer::NotOwner | OwnerAnswer::Silent => {}
        }
    }

    /// Takes back the token of a request that was not sent, for the rest of its lifetime.
    pub fn give_back(&mut self, now: Instant, token: QuotaToken) {
        self.hold(token);
        self.drop_expired(now);
    }

    /// Drops the tokens that have expired.
    pub fn drop_expired(&mut self, now: Instant) {
        let held = self.tokens.len();
        self.tokens.retain(|token| token.is_valid(now));
        self.counters.expired += (held - self.tokens.len()) as u64;
    }

    /// Returns the number of tokens held.
    pub fn held(&self) -> usize {
        self.tokens.len()
    }

    /// Returns the owners, in the order in which they are asked.
    pub fn owners(&self) -> &[OwnerContact] {
        &self.owners
    }

    /// Returns what has been counted since the last call.
    pub fn take_counters(&mut self) -> TokenCounters {
        std::mem::take(&mut self.counters)
    }

    /// Returns the time since the last request.
    pub fn idle(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.arrived)
    }

    fn hold(&mut self, token: QuotaToken) {
        let position = self.tokens.partition_point(|other| *other <= token);
        self.tokens.insert(position, token);
    }

    /// Returns how many tokens to ask for: those that requests wait for, or as many as arrive in half of
    /// a token's lifetime. More would expire unspent too often.
    fn wanted(&self, now: Instant, waiting: u32) -> TokenCount {
        // A steady rate `r` holds the decaying count at `r` lifetimes / ln 2.
        let expected = self.recent_arrivals(now) * std::f64::consts::LN_2 / 2.0;
        TokenCount::nearest(expected.max(f64::from(waiting)))
    }

    fn recent_arrivals(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.arrived);
        self.arrivals * decaying_average::decay(age, self.lifetime)
    }

    /// Returns when a refused caller may return. `next` is the time until an owner may be asked, which
    /// helps one caller: each further one returns as much later as that.
    fn refuse(&mut self, next: Duration) -> Duration {
        self.refused = self.refused.saturating_add(1);
        next.saturating_mul(self.refused).min(MAX_RETURN).max(next)
    }
}
