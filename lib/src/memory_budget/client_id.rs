//! The identity of a client's connection.

use std::fmt;
use std::str::FromStr;

use crate::error::Error;
use crate::error::Result;
use crate::result_code::ResultCode;

/// The number of a connection, unique in its table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(pub u64);

impl fmt::Display for ClientId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for ClientId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        text.parse().map(Self).map_err(|_| {
            Error::new(
                ResultCode::BadNumber,
                format!(
                    "`{}` is not the number of a connection",
                    text.escape_debug()
                ),
                "use a whole number",
            )
        })
    }
}
