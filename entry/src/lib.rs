//! The daemon that runs on every entry VM.

pub mod answer;
pub mod call_head;
pub mod connection;
pub mod control;
pub mod control_dump;
pub mod control_run;
pub mod field;
pub mod flags;
pub mod headers;
pub mod in_flight;
pub mod links;
pub mod peer_client;
pub mod pool_seat;
pub mod refusal;
pub mod relay_body;
pub mod request_body;
pub mod rpc;
pub mod service_plane;
pub mod settings;
pub mod socket_options;
pub mod supervisor;
pub mod view;
pub mod wire;
