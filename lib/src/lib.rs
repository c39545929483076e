//! The decisions of the carobshore load balancer.
//!
//! Nothing in this crate does I/O, reads a clock or spawns a task. Decision structs take events
//! with the time at which they happened and return the actions that the caller has to carry out,
//! so that the daemon, the load tool and the tests all drive the same code.

pub mod attempt_table;
pub mod baseline;
pub mod byte_size;
pub mod change;
pub mod charge_window;
pub mod clock;
pub mod config;
pub mod domain_id;
pub mod error;
pub mod fair_queue;
pub mod fold;
pub mod hedge;
pub mod homes;
pub mod intent;
pub mod measuring_budget;
pub mod name;
pub mod offset;
pub mod operator_id;
pub mod outcome;
pub mod outlier;
pub mod peer_load;
pub mod peer_table;
pub mod plan_digest;
pub mod policy;
pub mod pool_action;
pub mod pool_counters;
pub mod pool_event;
pub mod pool_settings;
pub mod pool_targets;
pub mod prelude;
pub mod ramp;
pub mod record;
pub mod record_id;
pub mod region_id;
pub mod request_key;
pub mod result_code;
pub mod retry_budget;
pub mod roster;
pub mod router;
pub mod service;
pub mod service_id;
pub mod slot_pool;
pub mod slots;
pub mod target;
pub mod target_entry;
pub mod target_id;
pub mod target_stats;
pub mod target_table;
pub mod target_time;
pub mod ticket;
pub mod version;
pub mod vm_id;
