//! What a check says of one entry of a configuration.

use std::fmt;

use serde::Serialize;

/// How serious a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// A VM refuses the configuration.
    Error,
    /// A VM accepts it, but the entry never has an effect.
    NoEffect,
    /// A VM accepts it, but two of its limits cannot both be met.
    Contradiction,
}

impl fmt::Display for Severity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Error => "error",
            Self::NoEffect => "no effect",
            Self::Contradiction => "contradiction",
        })
    }
}

/// What a check says of one entry of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Finding {
    /// How serious it is.
    pub severity: Severity,
    /// The entry: its type and name, and the field if one is at fault.
    pub place: Box<str>,
    /// What is wrong.
    pub text: Box<str>,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.severity, self.place, self.text)
    }
}
