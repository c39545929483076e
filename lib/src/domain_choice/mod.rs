//! Decides which requests leave the failure domain of a VM, and for which other domain.

pub mod capacity;
pub mod crossing_demand;
pub mod crossing_mode;
pub mod crossing_price;
pub mod crossing_settings;
pub mod departure;
pub mod departure_reason;
pub mod domain_chooser;
pub mod domain_load;
pub mod domain_state;
pub mod round_trip;
pub mod search_scope;
pub mod spill_plan;
pub mod spill_share;
