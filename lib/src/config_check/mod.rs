//! Checks of a configuration before operators send it.
//!
//! What a VM refuses is found by decoding the configuration as a VM does. The modules here find what a
//! VM accepts although it cannot be meant, and what differs from the version in force.

pub mod config_change;
pub mod config_summary;
pub mod finding;
pub mod rules;
