//! How it is decided whether a request leaves its failure domain.

use std::fmt;
use std::str::FromStr;

use crate::error::Error;
use crate::error::Result;
use crate::result_code::ResultCode;

/// How it is decided whether a request leaves its failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CrossingMode {
    /// The target with the lowest expected cost is chosen, wherever it is.
    #[default]
    Cost,
    /// Only a share of the requests leaves, which follows the load of the domains.
    Share,
}

impl CrossingMode {
    /// Returns the name on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Cost => "cost",
            Self::Share => "share",
        }
    }
}

impl fmt::Display for CrossingMode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for CrossingMode {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let mut modes = [Self::Cost, Self::Share].into_iter();
        modes.find(|mode| mode.as_str() == text).ok_or_else(|| {
            Error::new(
                ResultCode::BadName,
                format!("`{}` is not a way to cross domains", text.escape_debug()),
                "use `cost` or `share`",
            )
        })
    }
}
