//! The targets and VMs of a failure domain.

/// What a failure domain has for one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Slots of its usable targets.
    pub slots: u32,
    /// Number of its usable targets.
    pub targets: usize,
    /// VMs in it.
    pub vms: usize,
}
