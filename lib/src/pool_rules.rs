//! The numbers behind the decisions of a slot pool.

use std::time::Duration;

/// Pause between two looks at requests that have been in flight for long.
pub(crate) const CHECK_PAUSE: Duration = Duration::from_millis(10);
/// Age of a request in flight, in spreads above the typical time, from which it is looked at.
pub(crate) const OLD: f64 = 1.3;
/// A probe passes when it takes at most this many times its expected cost.
pub(crate) const PROBE_PASSES: u32 = 4;
/// A target with nothing in flight and no response for this long is probed.
pub(crate) const IDLE: Duration = Duration::from_secs(1);
/// How much shorter the wait at another home has to be, in mean service times. A report is up to
/// 100 ms old, and smaller differences come and go within that time.
pub(crate) const SHORTER: f64 = 0.4;
/// Evidence against a target from which its requests are hedged after the 95th percentile; other
/// requests are hedged after twice that time. Without slot ownership a request may also wait inside
/// the target, unseen, so that all are hedged after the 95th percentile.
pub(crate) const SUSPECTED: f64 = 2.0;
/// Pause between two searches for idle targets.
pub(crate) const IDLE_PAUSE: Duration = Duration::from_millis(100);
/// Time for which a due trial is left to a probe, which delays no caller.
pub(crate) const PROBE_FIRST: Duration = Duration::from_millis(200);
/// An ejected target for which neither a probe nor an idempotent request was possible for this
/// long is put back with one slot, or it would be lost to a service without either.
pub(crate) const TRIAL_PATIENCE: Duration = Duration::from_secs(10);
