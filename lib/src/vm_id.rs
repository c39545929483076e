//! The id of an entry VM.

crate::name_type!(
    /// Identifies one run of the daemon on an entry VM, as `<VM name>.<incarnation>`.
    ///
    /// The incarnation is random and new at each start. VMs store nothing locally, so a restarted
    /// VM has lost its key table and its commitments, and the roster has to treat it as a different
    /// VM.
    VmId,
    "VM id"
);

impl VmId {
    /// Builds the id of a run from the VM's name and a random incarnation.
    pub fn with_incarnation(name: &str, incarnation: u32) -> crate::error::Result<Self> {
        format!("{name}.{incarnation:08x}").parse()
    }

    /// Returns the VM's name as it appears in the platform's list of VMs.
    pub fn vm_name(&self) -> &str {
        self.as_str()
            .rsplit_once('.')
            .map_or(self.as_str(), |(name, _)| name)
    }
}
