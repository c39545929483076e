//! Thresholds and intervals of a slot pool's decisions.

use std::time::Duration;

/// Interval between checks of requests that have been in flight for long.
pub(crate) const AGE_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Age of a request in flight from which it is checked, in standard deviations of the log service
/// time above the typical one.
pub(crate) const OLD_DEVIATION: f64 = 1.3;
/// A probe passes when it takes at most this multiple of its expected cost.
pub(crate) const PROBE_PASS_FACTOR: u32 = 4;
/// A target that has had nothing in flight for this long is probed.
pub(crate) const IDLE_BEFORE_PROBE: Duration = Duration::from_secs(1);
/// How much shorter the wait at another home has to be for a spill, in mean service times. Reports
/// are up to 100 ms old, and smaller differences are noise within that time.
pub(crate) const MIN_SPILL_GAIN: f64 = 0.4;
/// Evidence against a target from which its requests are hedged after the 95th percentile of
/// service times; other requests are hedged after twice that time. Without slot ownership a request
/// may also wait in the target's queue, which this VM does not see, so all are hedged after the
/// 95th percentile.
pub(crate) const SUSPECT_EVIDENCE: f64 = 2.0;
/// Interval between searches for ejected and idle targets to probe.
pub(crate) const PROBE_SEARCH_INTERVAL: Duration = Duration::from_millis(100);
/// For this time after a trial is due, only a probe may be the trial, because a probe delays no
/// caller.
pub(crate) const PROBE_ONLY_TIME: Duration = Duration::from_millis(200);
/// An ejected target for which neither a probe nor an idempotent request was possible for this long
/// is readmitted with one slot. Otherwise a service without either would never get it back.
pub(crate) const TRIAL_TIMEOUT: Duration = Duration::from_secs(10);
