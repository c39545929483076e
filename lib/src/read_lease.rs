//! The read lease, without which a VM owns no keys.

use std::time::Duration;
use std::time::Instant;

/// How long a log read proves that the VM knows the current ownership, from the time at which the
/// read was issued.
pub const LEASE: Duration = Duration::from_secs(10);

/// How long a new owner waits after it read the record that made it the owner: the lease plus 5%,
/// because the clocks of two VMs may run at different rates.
pub const LEASE_WAIT: Duration = Duration::from_millis(10_500);

/// A lease that is renewed by successful log reads. Renewing it writes nothing.
///
/// The lease starts when a read is *issued*, and the wait of the next owner when a read *returns*.
/// Any read that does not contain a record was issued before a read that contains it returned, so
/// the old owner's lease ends before the new owner's wait does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReadLease {
    issued: Option<Instant>,
    not_before: Option<Instant>,
}

impl ReadLease {
    /// Records a successful read.
    ///
    /// Only a read that reached the end of the log counts: one that was cut off at its maximum
    /// number of records may have missed the record that moved ownership. The records of the read
    /// must be applied, and the homes that follow from them must be in the same view as this lease,
    /// before the lease is used. `in_roster` has to be determined after they were applied.
    pub fn read_ok(&mut self, issued: Instant, in_roster: bool) {
        if !in_roster {
            self.issued = None;
            return;
        }
        if self.not_before.is_some_and(|earliest| issued < earliest) {
            return;
        }
        self.issued = self.issued.max(Some(issued));
    }

    /// Invalidates the lease after a clock step: the VM may have been suspended without its
    /// monotonic clock advancing. Only a read issued after `now` renews the lease.
    pub fn invalidate(&mut self, now: Instant) {
        self.issued = None;
        self.not_before = self.not_before.max(Some(now));
    }

    /// Returns whether the lease is valid at `now`.
    pub fn holds(&self, now: Instant) -> bool {
        self.until().is_some_and(|until| now < until)
    }

    /// Returns whether the lease comes from a read issued after `moment`.
    pub fn issued_after(&self, moment: Instant) -> bool {
        self.issued.is_some_and(|issued| issued > moment)
    }

    /// Returns when the lease ends.
    pub fn until(&self) -> Option<Instant> {
        self.issued.map(|issued| issued + LEASE)
    }
}
