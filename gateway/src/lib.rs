//! The daemon that serves routes in front of targets that announce themselves.
//!
//! Each VM decides alone: it asks a few targets for their load just before it sends them a request.
//! It reads the configuration and the targets from the platform's store, or takes them from another
//! VM of a large failure domain.

pub mod accept_loop;
pub mod admin_server;
pub mod admission;
pub mod apply_records;
pub mod attempt;
pub mod body_memory;
pub mod call;
pub mod caller_connection;
pub mod daemon;
mod failed_call;
pub mod feed;
pub mod feed_client;
pub mod flags;
pub mod gateway;
pub mod in_flight;
pub mod log_output;
pub mod metrics;
pub mod reply;
pub mod store_probes;
pub mod store_watch;
pub mod target_connections;
pub mod target_search;
pub mod vm_registration;
