//! What a VM knows of one owner of a quota.

use std::time::Duration;
use std::time::Instant;

use crate::quota::owner_answer::OwnerAnswer;
use crate::quota::owner_pools::Owner;

/// How long an owner is not asked that did not answer.
const SILENCE: Duration = Duration::from_secs(1);
/// How long a VM is not asked that is no owner by its own list or configuration. It learns of changes
/// in about this time.
const STRANGER_PAUSE: Duration = Duration::from_millis(250);
/// The longest time for which an owner is not asked, whatever it says.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// An owner, and what it last said.
#[derive(Clone, Debug)]
pub struct OwnerContact {
    /// The owner.
    pub owner: Owner,
    /// What it last said; nothing if it has not been asked.
    pub last: Option<OwnerAnswer>,
    /// When it may be asked again.
    pub next: Option<Instant>,
}

impl OwnerContact {
    /// Creates the contact of an owner that has not been asked.
    pub fn new(owner: Owner) -> Self {
        Self {
            owner,
            last: None,
            next: None,
        }
    }

    /// Records an answer.
    pub fn hear(&mut self, now: Instant, answer: OwnerAnswer) {
        self.last = Some(answer);
        self.next = match answer {
            OwnerAnswer::Granted(_) => None,
            OwnerAnswer::Empty(next) => Some(now + next.min(MAX_PAUSE)),
            OwnerAnswer::NotOwner => Some(now + STRANGER_PAUSE),
            OwnerAnswer::Silent => Some(now + SILENCE),
        };
    }

    /// Returns the time until the owner may be asked again; nothing if it may be asked now.
    pub fn pause(&self, now: Instant) -> Option<Duration> {
        let next = self.next?;
        (next > now).then(|| next - now)
    }

    /// Returns whether the owner has said that it has no token.
    pub fn is_empty(&self) -> bool {
        matches!(self.last, Some(OwnerAnswer::Empty(_)))
    }
}
