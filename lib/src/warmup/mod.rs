//! Targets that are cold after a start and take few requests.

pub mod warmup_rule;
