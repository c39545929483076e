//! Why a request leaves the queue without a target.

use std::fmt;
use std::time::Duration;

use crate::request_rate::RequestRate;

/// What a refusal is based on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueRefusal {
    /// Number of requests that would be served before this one.
    pub ahead: usize,
    /// How many requests of the queue find a target, if it is known.
    pub pace: Option<RequestRate>,
    /// How long the request would wait.
    pub wait: Duration,
    /// When the caller may return.
    pub retry: Duration,
    /// What made the queue decide.
    pub cause: RefusalCause,
}

/// What made the queue refuse a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalCause {
    /// It could not be served in time when it arrived.
    OnArrival,
    /// The queue has slowed down, or more urgent requests have come, since it arrived.
    SlowerQueue,
    /// Its time to wait is over.
    WaitOver,
}

impl RefusalCause {
    /// Returns the name used in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::OnArrival => "on-arrival",
            Self::SlowerQueue => "slower-queue",
            Self::WaitOver => "wait-over",
        }
    }
}

impl fmt::Display for QueueRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (ahead, wait, cause) = (self.ahead, self.wait.as_millis(), self.cause.as_str());
        write!(f, "{cause}: {ahead} ahead in the queue, ")?;
        match self.pace {
            Some(pace) => write!(f, "{pace} requests a second find a target, ")?,
            None => f.write_str("pace not known, ")?,
        }
        write!(f, "expected wait {wait} ms")
    }
}
