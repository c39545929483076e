//! One request of a schedule.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use carobshore_lib::prelude::Error;
use carobshore_lib::prelude::ResultCode;
use serde::Serialize;

/// The kinds of requests that callers make.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// An idempotent read with a short response.
    Read,
    /// An idempotent read with a long response.
    Blob,
    /// A non-idempotent request with a key.
    Once,
    /// A non-idempotent request without a key.
    Post,
    /// A long non-idempotent request without a key.
    Upload,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Self; 5] = [Self::Read, Self::Blob, Self::Once, Self::Post, Self::Upload];

    /// Returns the kind's name on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Blob => "blob",
            Self::Once => "once",
            Self::Post => "post",
            Self::Upload => "upload",
        }
    }

    /// Returns whether the request may run more than once.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Read | Self::Blob)
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Kind {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let mut all = Self::ALL.into_iter();
        all.find(|kind| kind.as_str() == text).ok_or_else(|| {
            Error::new(
                ResultCode::BadUsage,
                format!("`{}` is not a kind of request", text.escape_debug()),
                "use `read`, `blob`, `once`, `post` or `upload`",
            )
        })
    }
}

/// When a request is due, and what it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The position in the schedule.
    pub index: usize,
    /// The time since the start of the load.
    pub at: Duration,
    /// The kind of request.
    pub kind: Kind,
    /// The position of the entry VM in the list of entry VMs.
    pub entry: usize,
    /// The position of the service in the list of services.
    pub service: usize,
}
