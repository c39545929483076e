//! The daemon that runs on every entry VM.

pub mod log_client;
pub mod supervisor;
pub mod vm_list_client;
