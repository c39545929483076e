//! The daemon that runs on every entry VM.

pub mod answer;
pub mod connection;
pub mod flags;
pub mod settings;
pub mod socket_options;
pub mod wire;
