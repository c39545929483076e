//! One service with its targets and budgets.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::target::Target;
use crate::target_id::TargetId;
use crate::target_time::TargetTime;
use crate::version::Version;

/// The default connection budget per target.
pub const DEFAULT_CONNECTIONS: u32 = 220;

/// A service as the confirmed configuration describes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Grows with each confirmed change of the service and never decreases, even if the service is
    /// removed and added again.
    pub version: Version,
    /// The targets that serve the service.
    pub targets: BTreeMap<TargetId, Target>,
    /// The measuring budget: the target time that probes may take, summed over all targets and VMs.
    pub measuring: TargetTime,
    /// The connection budget: the number of connections to one target, summed over all VMs.
    pub connections: u32,
}

impl Service {
    /// Returns the targets that may get new requests.
    pub fn serving(&self) -> impl Iterator<Item = (&TargetId, &Target)> {
        self.targets
            .iter()
            .filter(|(_, target)| target.is_serving())
    }

    /// Returns the total slots of the targets that may get new requests.
    pub fn serving_slots(&self) -> u64 {
        self.serving()
            .map(|(_, target)| u64::from(target.slots.get()))
            .sum()
    }
}
