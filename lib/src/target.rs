//! One target of a service.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::domain_id::DomainId;
use crate::slots::Slots;

/// Whether a target may get new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TargetState {
    /// The target accepts new requests.
    Serving,
    /// The target finishes its requests in flight and gets no new ones.
    Leaving,
}

/// A target as the confirmed configuration describes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Where the target accepts connections.
    pub addr: SocketAddr,
    /// The failure domain in which the target runs.
    pub domain: DomainId,
    /// How many requests the target serves at the same time.
    pub slots: Slots,
    /// The version of the service at which the target was added. A drained target gets new requests
    /// only under a higher generation.
    pub generation: u64,
    /// Whether the target may get new requests.
    pub state: TargetState,
}

impl Target {
    /// Returns whether the target may get new requests.
    pub fn is_serving(&self) -> bool {
        self.state == TargetState::Serving
    }
}
