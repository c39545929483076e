//! An entry of the VM list.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Whether a VM is about to be removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM runs and is not due to be removed.
    Live,
    /// The platform is about to remove the VM.
    Leaving,
}

/// One VM as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// The VM's name.
    pub name: Box<str>,
    /// The VM's address.
    pub addr: SocketAddr,
    /// The failure domain in which the VM runs.
    pub domain: Box<str>,
    /// Whether the VM is about to be removed.
    pub state: VmState,
}
