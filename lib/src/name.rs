//! The syntax of textual ids, and a macro that defines newtypes for them.

use crate::error::Error;
use crate::error::Result;
use crate::result_code::ResultCode;

/// The maximum length of a textual id in bytes, which is also that of a DNS label.
pub const MAX_NAME_BYTES: usize = 63;

/// Checks that `text` is a valid id of the given kind.
///
/// Ids appear in headers, host names, metrics and log lines, so only lower-case letters, digits,
/// hyphens and dots are allowed, and the first character must be a letter or a digit.
pub fn check_name(kind: &str, text: &str) -> Result<()> {
    let length_ok = !text.is_empty() && text.len() <= MAX_NAME_BYTES;
    let start_ok = text.starts_with(|c: char| c.is_ascii_lowercase() || c.is_ascii_digit());
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-.".contains(c);
    if length_ok && start_ok && text.chars().all(allowed) {
        return Ok(());
    }
    Err(Error::new(
        ResultCode::BadName,
        format!("`{}` is not a valid {kind}", text.escape_debug()),
        "use 1 to 63 lower-case letters, digits, `-` and `.`, starting with a letter or digit",
    ))
}

/// Defines a newtype over `Box<str>` whose value passed [`check_name`].
#[macro_export]
macro_rules! name_type {
    ($(#[$meta:meta])* $name:ident, $kind:literal) => {
        $(#[$meta])*
        #[derive(
            Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(try_from = "Box<str>", into = "Box<str>")]
        pub struct $name(Box<str>);

        impl $name {
            /// Returns the id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<Box<str>> for $name {
            type Error = $crate::error::Error;

            fn try_from(text: Box<str>) -> Result<Self, Self::Error> {
                $crate::name::check_name($kind, &text)?;
                Ok(Self(text))
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::error::Error;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                Self::try_from(Box::from(text))
            }
        }

        impl From<$name> for Box<str> {
            fn from(id: $name) -> Self {
                id.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}
