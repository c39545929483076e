//! Up to where a topic of the store is known, and what answers of the store and of other VMs add to it.

use crate::store_era::StoreEra;
use crate::store_position::StorePosition;

/// What is to be done with the records of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// They replace all records that are known.
    Replace,
    /// Those from this offset on are applied, in order.
    Apply(u64),
    /// There are none: what is known is current.
    Current,
    /// They are not used, and the answer does not say whether what is known is current.
    Ignore,
}

/// The reader of a topic. It decides what an era of the store means for what it knows: positions of
/// an earlier era are given up and all records are read, because the store gives their offsets out again.
/// Answers may be late, and come from the store or from other VMs, which know as much as they have read.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreReader {
    known: Option<StorePosition>,
}

impl StoreReader {
    /// Returns the position after the known records; nothing before the first answer, and when all
    /// records have to be read again.
    pub fn known(&self) -> Option<StorePosition> {
        self.known
    }

    /// Gives up the position if it is of an earlier era than the newest one, and returns it. What was read
    /// up to there stays in use until all records are read.
    pub fn give_up(&mut self, newest: StoreEra) -> Option<StorePosition> {
        self.known.take_if(|known| known.era < newest)
    }

    /// Handles the answer that the records from the position on have expired. In a later era, the
    /// position is left for [`Self::give_up`].
    pub fn expired(&mut self, newest: StoreEra) {
        self.known.take_if(|known| known.era == newest);
    }

    /// Handles a list of all records of the store up to `end`, which may be late.
    pub fn take_list(&mut self, newest: StoreEra, end: StorePosition) -> Use {
        // Another VM may have sent later records since the call began.
        if end.era < newest || Some(end) < self.known {
            return Use::Ignore;
        }
        self.known = Some(end);
        Use::Replace
    }

    /// Handles a page of the store, or changes from another VM: the records from one position to another
    /// one. It may be late.
    pub fn take_page(&mut self, from: StorePosition, next: StorePosition) -> Use {
        // Otherwise records before the page are not known.
        let follows = |known: &StorePosition| known.era == next.era && from <= *known;
        let Some(known) = self.known.filter(follows) else {
            return Use::Ignore;
        };
        if next <= known {
            return Use::Current;
        }
        self.known = Some(next);
        Use::Apply(known.offset.0)
    }

    /// Handles all records of another VM, which knows the topic up to `next`.
    pub fn take_snapshot(&mut self, newest: StoreEra, next: StorePosition) -> Use {
        if next.era < newest {
            return Use::Ignore;
        }
        self.known = Some(next);
        Use::Replace
    }
}
