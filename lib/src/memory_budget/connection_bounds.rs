//! How many connections clients may hold.

use crate::byte_size::ByteSize;
use crate::error::Error;
use crate::error::Result;
use crate::result_code::ResultCode;

/// Descriptors for files, listeners and the runtime.
const FILE_DESCRIPTORS: u32 = 200;
/// One of this many of the other descriptors is for targets, the store, other VMs and the admin address.
const KEPT_DIVISOR: u32 = 4;
/// One address may hold all connections of clients divided by this.
const ADDRESS_DIVISOR: u32 = 4;
/// The least bound of one address.
const MIN_ADDRESS: u32 = 64;
/// What a connection takes beside its buffers, in bytes: its tasks and its entries in tables.
const CONNECTION_COST: u64 = 8 << 10;
/// Connections may take the memory of the process divided by this.
const MEMORY_DIVISOR: u64 = 6;

/// How many connections clients may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionBounds {
    /// Connections of all clients.
    pub total: u32,
    /// Connections of one address, while half of all are in use.
    pub address: u32,
}

/// The bounds that an operator sets instead of the derived ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ChosenBounds {
    /// Connections of all clients.
    pub total: Option<u32>,
    /// Connections of one address.
    pub address: Option<u32>,
}

impl ConnectionBounds {
    /// Derives the bounds of a process from the number of descriptors that it may open, if the platform
    /// says, and from its memory.
    pub fn derive(descriptors: Option<u32>, memory: ByteSize, chosen: ChosenBounds) -> Self {
        let by_memory = memory.0 / MEMORY_DIVISOR / CONNECTION_COST;
        let by_memory = u32::try_from(by_memory).unwrap_or(u32::MAX);
        let by_descriptors = descriptors.map_or(u32::MAX, |descriptors| {
            let usable = usable(descriptors);
            usable - usable / KEPT_DIVISOR
        });
        let total = chosen.total.unwrap_or(by_memory).min(by_descriptors).max(1);
        let address = (total / ADDRESS_DIVISOR).max(MIN_ADDRESS);
        Self {
            total,
            address: chosen.address.unwrap_or(address).min(total),
        }
    }

    /// Derives the bounds of a listener that serves the admin address or other VMs: half of what is kept
    /// from clients, and `most` at most.
    pub fn derive_kept(descriptors: Option<u32>, most: u32) -> Self {
        let kept = descriptors.map_or(most, |descriptors| usable(descriptors) / KEPT_DIVISOR / 2);
        let total = kept.clamp(1, most.max(1));
        Self {
            total,
            address: total,
        }
    }
}

impl TryFrom<(u32, u32)> for ConnectionBounds {
    type Error = Error;

    /// Takes the bound of all clients and that of one address.
    fn try_from((total, address): (u32, u32)) -> Result<Self> {
        match (1..=total).contains(&address) {
            true => Ok(Self { total, address }),
            false => Err(Error::new(
                ResultCode::BadNumber,
                format!("{address} connections of one address of {total} in all"),
                "use numbers of 1 or more, for an address no more than in all",
            )),
        }
    }
}

/// Returns the descriptors that may be sockets. A process with few of them keeps half for files.
fn usable(descriptors: u32) -> u32 {
    descriptors.saturating_sub(FILE_DESCRIPTORS.min(descriptors / 2))
}
