//! The id of an organisation.

use std::fmt;
use std::str::FromStr;

use crate::error::Error;
use crate::error::Result;
use crate::result_code::ResultCode;

/// Maximum length of an id in bytes. It is sent to targets in a header field.
const MAX_BYTES: usize = 128;

/// Identifies an organisation. Operators choose the names, so any text without spaces that a header
/// field can carry is valid.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrganisationId(Box<str>);

impl OrganisationId {
    /// Returns the id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<Box<str>> for OrganisationId {
    type Error = Error;

    fn try_from(text: Box<str>) -> Result<Self> {
        let length_ok = (1..=MAX_BYTES).contains(&text.len());
        if length_ok && text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Ok(Self(text));
        }
        Err(Error::new(
            ResultCode::BadName,
            format!("`{}` is not a valid organisation", text.escape_debug()),
            "use 1 to 128 printable ASCII characters without spaces",
        ))
    }
}

impl FromStr for OrganisationId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        Self::try_from(Box::from(text))
    }
}

impl fmt::Display for OrganisationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
