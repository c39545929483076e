//! When a VM compares its list of VMs with that of another one.

use std::time::Duration;
use std::time::Instant;

use crate::roster_digest::RosterDigest;
use crate::vm_roster::VmRecord;
use crate::vm_roster::VmRoster;

/// Pause between two comparisons. Lists that stay different must not cost a message with each poll.
const PAUSE: Duration = Duration::from_secs(2);

/// When a VM compares its list of VMs with that of the VM that it polls.
#[derive(Clone, Copy, Debug, Default)]
pub struct RosterSync {
    own: RosterDigest,
    last: Option<Instant>,
}

impl RosterSync {
    /// Sets the list of this VM.
    pub fn set(&mut self, roster: &VmRoster) {
        self.own = roster.into();
    }

    /// Returns the digest of this VM's list.
    pub fn own(&self) -> RosterDigest {
        self.own
    }

    /// Returns whether to read the other VM's list now, whose digest it has told.
    pub fn begin(&mut self, now: Instant, other: RosterDigest) -> bool {
        let paused = self.last.is_some_and(|last| now < last + PAUSE);
        let due = other != self.own && !paused;
        if due {
            self.last = Some(now);
        }
        due
    }
}

/// Returns a VM of `own` that `other` lacks.
pub fn lacking<'a>(own: &'a VmRoster, other: &VmRoster) -> Option<&'a VmRecord> {
    let is_known = |vm: &VmRecord| other.iter().any(|known| known.name == vm.name);
    own.iter().find(|vm| !is_known(vm))
}
