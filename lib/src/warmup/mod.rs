//! Targets that are cold after a start and take few requests.
//!
//! Guards cold targets against more requests, from all VMs together, than they take. Nothing of this
//! acts on services without a [`warmup_rule::WarmupRule`], or without bounds in the settings.

pub mod cold_bucket;
pub mod cold_limit;
pub mod cold_share;
pub mod cold_target;
pub mod warmup_rule;
