//! The decisions of the carobshore load balancer.
//!
//! Nothing in this crate does I/O, reads a clock or spawns a task. Decision structs take events
//! with the time at which they happened and return the actions that the caller has to carry out,
//! so that the daemon, the load tool and the tests all drive the same code.

mod canonical;
mod draft;
mod peer_offers;
mod snapshot_schedule;

pub mod appender;
pub mod byte_size;
pub mod change;
pub mod clock;
pub mod config;
pub mod connection_pool;
pub mod domain_id;
pub mod error;
pub mod exchange;
pub mod fold;
pub mod follower;
pub mod follower_message;
pub mod heartbeat;
pub mod history;
pub mod homes;
pub mod intent;
pub mod key_histories;
pub mod key_history;
pub mod key_homes;
pub mod key_table;
pub mod leaving;
pub mod log_page;
pub mod membership;
pub mod name;
pub mod offset;
pub mod operator_id;
pub mod outcome;
pub mod peer_load;
pub mod pending;
pub mod plan;
pub mod plan_digest;
pub mod plan_report;
pub mod planned_stop;
pub mod policy;
pub mod pool_action;
pub mod pool_event;
pub mod pool_settings;
pub mod pool_targets;
pub mod prelude;
pub mod read_lease;
pub mod recent_ids;
pub mod record;
pub mod record_id;
pub mod region_id;
pub mod request_key;
pub mod result_code;
pub mod roster;
pub mod router;
pub mod send_right;
pub mod service;
pub mod service_id;
pub mod slot_pool;
pub mod slots;
pub mod snapshot;
pub mod snapshot_marks;
pub mod snapshot_scan;
pub mod target;
pub mod target_id;
pub mod target_time;
pub mod ticket;
pub mod version;
pub mod vm_id;
pub mod wall_guard;
pub mod watch_ring;
