//! The daemon that runs on every entry VM.

pub mod answer;
pub mod call_head;
pub mod connection;
pub mod field;
pub mod flags;
pub mod headers;
pub mod in_flight;
pub mod links;
pub mod log_client;
pub mod pool_seat;
pub mod refusal;
pub mod relay_body;
pub mod request_body;
pub mod service_plane;
pub mod settings;
pub mod socket_options;
pub mod supervisor;
pub mod view;
pub mod vm_list_client;
pub mod wire;
