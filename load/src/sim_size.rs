//! The installations for which policies are compared.

use std::time::Duration;

/// One service of an installation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Size {
    /// The installation's name.
    pub name: &'static str,
    /// Entry VMs, spread evenly over the failure domains.
    pub vms: usize,
    /// Failure domains.
    pub domains: usize,
    /// Targets, spread evenly over the failure domains.
    pub targets: usize,
    /// Slots of each target.
    pub slots: u32,
    /// One way between two machines in the same failure domain.
    pub near: Duration,
    /// One way between two machines in different failure domains.
    pub far: Duration,
    /// Slot time of a probe.
    pub probe: Duration,
    /// Slot time that probes may take per second, over all targets and VMs.
    pub budget: Duration,
}

/// The service `status` at Tawe Anodic Systems.
pub const TAWE: Size = Size {
    name: "tawe",
    vms: 15,
    domains: 3,
    targets: 16,
    slots: 2,
    near: Duration::from_micros(100),
    far: Duration::from_millis(1),
    probe: Duration::from_millis(6),
    budget: Duration::from_millis(30),
};

/// The service `gallery` at Shamaa Runway Collective.
pub const SHAMAA: Size = Size {
    name: "shamaa",
    targets: 15,
    far: Duration::from_micros(500),
    ..TAWE
};

impl Size {
    /// Returns the failure domain of a VM or a target.
    pub fn domain(&self, index: usize) -> usize {
        index % self.domains
    }

    /// Returns the time from one machine to another.
    pub fn delay(&self, from: usize, to: usize) -> Duration {
        if self.domain(from) == self.domain(to) {
            self.near
        } else {
            self.far
        }
    }

    /// Returns the slots of all targets.
    pub fn all_slots(&self) -> u32 {
        self.targets as u32 * self.slots
    }
}
