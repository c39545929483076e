//! The decisions of the carobshore load balancer.
//!
//! Nothing in this crate does I/O, reads a clock or spawns a task. Decision structs take events
//! with the time at which they happened and return the actions that the caller has to carry out,
//! so that the daemon, the load tool and the tests all drive the same code.

pub mod backoff;
pub mod byte_size;
pub mod change;
pub mod clock;
pub mod config;
pub mod domain_id;
pub mod error;
pub mod fold;
pub mod intent;
pub mod name;
pub mod offset;
pub mod operator_id;
pub mod outcome;
pub mod plan_digest;
pub mod prelude;
pub mod record;
pub mod record_id;
pub mod region_id;
pub mod request_key;
pub mod result_code;
pub mod roster;
pub mod service;
pub mod service_id;
pub mod slots;
pub mod target;
pub mod target_id;
pub mod target_time;
pub mod version;
pub mod vm_id;
