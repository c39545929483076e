//! Helpers that the tests of every crate share.

pub mod keys;
pub mod manual_clock;
pub mod sim_check;
pub mod sim_connection;
pub mod sim_control;
pub mod sim_data;
pub mod sim_fault;
pub mod sim_platform;
pub mod sim_record;
pub mod sim_world;
