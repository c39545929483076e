//! Simulators of the platform's log and VM list and of a target, with faults that can be switched
//! at run time.
//!
//! Each simulator runs as a binary, or inside a test on its own threads. They listen on loopback
//! only and keep everything in memory.

pub mod blob;
pub mod broken_server;
pub mod conn_table;
pub mod endless_part;
pub mod executions;
pub mod fault_proxy;
pub mod log;
pub mod log_faults;
pub mod log_settings;
pub mod log_store;
pub mod logging;
pub mod noise;
pub mod odd_entry;
pub mod raw_server;
pub mod server;
pub mod service_time;
pub mod site_store;
pub mod site_target;
pub mod site_wire;
pub mod slot_queue;
pub mod target;
pub mod target_body;
pub mod target_faults;
pub mod target_settings;
pub mod target_state;
pub mod trigger;
pub mod vm_entry;
pub mod vm_history;
pub mod vm_list;

pub use crate::log::LogStandin;
pub use crate::log_faults::LogFaults;
pub use crate::log_settings::LogSettings;
pub use crate::target::TargetStandin;
pub use crate::target_faults::TargetFaults;
pub use crate::target_settings::TargetSettings;
pub use crate::trigger::Trigger;
pub use crate::vm_entry::VmEntry;
pub use crate::vm_entry::VmState;
pub use crate::vm_list::VmListFaults;
pub use crate::vm_list::VmListSettings;
pub use crate::vm_list::VmListStandin;
