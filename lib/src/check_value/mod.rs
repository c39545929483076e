//! Decides how many targets are worth asking for their load before a request is sent.

pub mod check_plan;
pub mod prospect;
pub mod report_spread;
