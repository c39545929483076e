//! What clients may make the process hold, as the command line says.

use std::time::Duration;

use carobshore_lib::byte_size::ByteSize;
use carobshore_lib::memory_budget::connection_bounds::ChosenBounds;
use carobshore_lib::memory_budget::connection_bounds::ConnectionBounds;
use carobshore_lib::memory_budget::memory_bounds::DEFAULT_PERCENT;
use carobshore_lib::memory_budget::memory_bounds::MemoryBounds;
use carobshore_lib::memory_budget::pipeline_bounds::PipelineBounds;
use carobshore_platform::boot_settings::BootSettings;

/// Connections of each listener for the admin address and other VMs, unless there are too few
/// descriptors.
pub const DEFAULT_CONTROL: u32 = 1_024;
/// How long a response may wait without a byte taken by the client.
pub const DEFAULT_STALL: Duration = Duration::from_secs(10);

/// What clients may make the process hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientSettings {
    /// The share of the process's memory, in percent.
    pub percent: u8,
    /// The bounds of connections that the operator has chosen.
    pub connections: ChosenBounds,
    /// How far a client may send ahead.
    pub pipeline: PipelineBounds,
    /// How long a response may wait without a byte taken by the client.
    pub stall: Duration,
    /// Connections of each listener for the admin address and other VMs.
    pub control: u32,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            percent: DEFAULT_PERCENT,
            connections: ChosenBounds::default(),
            pipeline: PipelineBounds::default(),
            stall: DEFAULT_STALL,
            control: DEFAULT_CONTROL,
        }
    }
}

impl ClientSettings {
    /// Returns the bounds of the connections and the memory of callers, for what the VM allows.
    pub(crate) fn bounds(
        &self,
        boot: &BootSettings,
    ) -> eyre::Result<(ConnectionBounds, MemoryBounds)> {
        let memory = ByteSize(boot.memory);
        let connections = ConnectionBounds::derive(boot.descriptors, memory, self.connections);
        let memory = MemoryBounds::try_from((memory, self.percent))?;
        Ok((connections, memory))
    }
}
