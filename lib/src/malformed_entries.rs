//! Entries of a compacted topic that name nothing, because they cannot be read.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::store_position::StorePosition;

/// The number of keys that are remembered. Entries under more keys are counted, but not logged.
const MAX_KEYS: usize = 512;

/// What a malformed entry means for the log and the counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// The key had no malformed entry before.
    New,
    /// The key has got one more, or there are too many keys to tell.
    Further,
    /// A copy of this entry was found before.
    Known,
}

/// The keys whose last entry is malformed, so that each is logged once, however often the list is read
/// again.
#[derive(Clone, Debug, Default)]
pub struct MalformedEntries(BTreeMap<Box<str>, StorePosition>);

impl MalformedEntries {
    /// Records that the entry at `position` in the log is malformed.
    pub fn found(&mut self, position: StorePosition, key: &str) -> Finding {
        if let Some(known) = self.0.get_mut(key) {
            let is_copy = position <= *known;
            *known = position.max(*known);
            return if is_copy {
                Finding::Known
            } else {
                Finding::Further
            };
        }
        if self.0.len() >= MAX_KEYS {
            return Finding::Further;
        }
        self.0.insert(key.into(), position);
        Finding::New
    }

    /// Records that the entry at `position` in the log can be read, or ends the earlier one.
    pub fn replaced(&mut self, position: StorePosition, key: &str) {
        if self.0.get(key).is_some_and(|known| *known < position) {
            self.0.remove(key);
        }
    }

    /// Forgets all keys but these, because a complete read has found no others.
    pub fn retain(&mut self, listed: &BTreeSet<&str>) {
        self.0.retain(|key, _| listed.contains(&**key));
    }

    /// Returns the number of keys whose last entry is malformed, as far as they are remembered.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether no key is known whose last entry is malformed.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
