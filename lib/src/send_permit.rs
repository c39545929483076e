//! The right to hand a run-once request to a connection.

use crate::result_code::ResultCode;

/// Who refused a request before it started, which proves that it did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusedBy {
    /// The target sheds load.
    Shed,
    /// The target drains.
    Drain,
    /// The target says that the deadline is too close.
    Deadline,
    /// Another VM answered a forwarded request with `carobshore-outcome: not-run`.
    Vm {
        /// The VM's code.
        code: ResultCode,
        /// Whether the response allows another attempt (no `carobshore-retry: no`).
        retry: bool,
    },
}

impl RefusedBy {
    /// Returns the code for the caller.
    pub fn code(self) -> ResultCode {
        match self {
            Self::Shed | Self::Drain => ResultCode::TargetRefused,
            Self::Deadline => ResultCode::DeadlineTooClose,
            Self::Vm { code, .. } => code,
        }
    }

    /// Returns whether another attempt may help.
    pub fn allows_retry(self) -> bool {
        match self {
            Self::Shed | Self::Drain => true,
            Self::Deadline => false,
            Self::Vm { retry, .. } => retry,
        }
    }
}

/// The right to hand one run-once request to one connection.
///
/// A request gets one at its start. The type can be neither copied nor built outside this file, and
/// sending consumes it, so a second attempt exists only after [`SpentPermit::reclaim`], which asks
/// for the refusal that proves that the first attempt did not run.
#[derive(Debug)]
pub struct SendPermit(());

/// The right of a request that was handed to a connection.
#[derive(Debug)]
pub struct SpentPermit(());

impl SendPermit {
    /// Returns the right of a new request.
    pub(crate) fn for_new_request() -> Self {
        Self(())
    }

    /// Consumes the right when the first byte is handed over.
    pub(crate) fn spend(self) -> SpentPermit {
        SpentPermit(())
    }
}

impl SpentPermit {
    /// Restores the right because the receiver refused the request before it started.
    pub(crate) fn reclaim(self, _proof: RefusedBy) -> SendPermit {
        SendPermit(())
    }
}
