//! The permit to write a run-once request to a connection.

use crate::result_code::ResultCode;

/// Who refused a request before executing it. The refusal proves that the request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusedBy {
    /// The target sheds load.
    Shed,
    /// The target drains.
    Drain,
    /// The target reports that the deadline is too close.
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
    /// Returns the result code for the caller.
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

/// The permit to write one run-once request to one connection.
///
/// A request gets one permit when it starts. The type can be neither copied nor constructed outside
/// this file, and sending consumes it. A second attempt is therefore only possible after
/// [`SpentPermit::reclaim`], which requires the refusal that proves that the first attempt did not
/// run.
#[derive(Debug)]
pub struct SendPermit(());

/// The permit of a request that was written to a connection.
#[derive(Debug)]
pub struct SpentPermit(());

impl SendPermit {
    /// Creates the permit of a new request.
    pub(crate) fn for_new_request() -> Self {
        Self(())
    }

    /// Consumes the permit when the first byte is written.
    pub(crate) fn spend(self) -> SpentPermit {
        SpentPermit(())
    }
}

impl SpentPermit {
    /// Restores the permit because the receiver refused the request before executing it.
    pub(crate) fn reclaim(self, _proof: RefusedBy) -> SendPermit {
        SendPermit(())
    }
}
