//! An entry of the VM list.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM runs and stays.
    Live,
    /// The platform is about to take the VM away.
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
    /// Whether the VM stays.
    pub state: VmState,
}
