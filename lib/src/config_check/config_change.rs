//! One difference between two configurations.

use std::fmt;

use serde::Serialize;

/// One difference between two configurations.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConfigChange {
    /// The later one has an item that the earlier one lacks.
    Added {
        /// The type and the name of the item.
        item: Box<str>,
    },
    /// The later one lacks an item that the earlier one has.
    Removed {
        /// The type and the name of the item.
        item: Box<str>,
    },
    /// Both have the item, with different values.
    Changed {
        /// The type and the name of the item.
        item: Box<str>,
        /// The name of the value.
        value: Box<str>,
        /// The earlier value.
        from: Box<str>,
        /// The later value.
        to: Box<str>,
    },
}

impl fmt::Display for ConfigChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added { item } => write!(f, "added: {item}"),
            Self::Removed { item } => write!(f, "removed: {item}"),
            Self::Changed {
                item,
                value,
                from,
                to,
            } => write!(f, "changed: {item}: {value} from `{from}` to `{to}`"),
        }
    }
}
