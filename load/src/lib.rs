//! The parts of the load tool, as a library so that tests can drive them.

pub mod arrival;
pub mod audit;
pub mod checker;
pub mod cmd_run;
pub mod mix;
pub mod pacer;
pub mod runner;
pub mod sample;
pub mod schedule;
pub mod sender;
pub mod summary;
pub mod tally;
