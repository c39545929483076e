//! A load balancer for targets that announce themselves in the platform's store.
//!
//! Each VM routes independently: just before it forwards a request, it queries a few targets for
//! their load. It reads the configuration and the list of targets from the platform's store or, in
//! a large failure domain, from another VM.

pub mod accept_loop;
pub mod access;
pub mod admin_server;
pub mod admission;
pub mod apply_records;
pub mod attempt;
pub mod call;
pub mod caller_connection;
pub mod client_settings;
pub mod clients;
pub mod compressed_body;
mod connection_race;
pub mod crossing;
pub mod daemon;
mod evacuation;
mod failed_call;
pub mod feed;
pub mod feed_client;
pub mod feed_format;
mod feed_peer;
pub mod flags;
pub mod gateway;
mod health_check;
pub mod held_bytes;
pub mod in_flight;
mod limit_client;
mod limited_targets;
pub mod limits;
pub mod log_output;
pub mod metrics;
mod owner_connections;
mod quota_charge;
mod quota_client;
mod quota_server;
mod quotas;
pub mod record_source;
mod recovery_news;
mod registrar;
pub mod reply;
mod reply_writer;
mod request_queue;
mod response_memory;
pub mod service_estimates;
mod state_dump;
pub mod store_probes;
mod store_restart;
pub mod store_watch;
pub mod target_connections;
mod target_notices;
pub mod target_search;
mod vm_list_sync;
pub mod vm_registration;
mod warmup;
