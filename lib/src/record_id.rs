//! The id of a log record, chosen by its writer.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

use crate::error::Error;
use crate::error::Result;
use crate::result_code::ResultCode;

/// Identifies a log record independently of its offset.
///
/// The writer chooses it, so that an append whose response was lost can be retried: the second copy
/// is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RecordId(pub Uuid);

impl fmt::Display for RecordId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for RecordId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        Uuid::parse_str(text).map(Self).map_err(|_| {
            Error::new(
                ResultCode::BadRecordId,
                format!("`{}` is not a valid record id", text.escape_debug()),
                "use the id that `carobshore plan` or `carobshore history` prints",
            )
        })
    }
}
