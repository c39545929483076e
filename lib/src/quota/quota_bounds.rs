//! How far organisations may exceed their quotas.

use std::time::Duration;

/// The shortest lifetime of a token. With less, it could expire on its way.
const MIN_LIFETIME: Duration = Duration::from_millis(50);

/// How far the requests of an organisation may exceed its quota, all VMs together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// The time over which requests are counted.
    pub window: Duration,
    /// The share of the quota that may be exceeded.
    pub over: f64,
    /// Requests that may be exceeded in addition.
    pub slack: f64,
}

impl QuotaBounds {
    /// Returns how long a token is valid. The requests of a window are those granted in it and in
    /// this time before it, which the share that may be exceeded pays for.
    pub fn lifetime(&self) -> Duration {
        let lifetime = self.window.mul_f64(self.over.clamp(0.0, 1.0));
        lifetime.max(MIN_LIFETIME)
    }
}
