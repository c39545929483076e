//! How an entry VM chooses the target of a request.

use std::fmt;
use std::str::FromStr;

use serde::Serialize;

use crate::error::Error;
use crate::error::Result;
use crate::result_code::ResultCode;

/// The routing policy of a VM. All policies use the same slot pool, so that comparisons between
/// them differ in the policy only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Each VM on its own sends to a target drawn at random.
    Random,
    /// Each VM on its own sends to the less loaded of two targets drawn at random. `homes` falls
    /// back to this when no home can be reached.
    TwoChoices,
    /// Each target has one VM as its home, which owns the target's slots and queues requests for
    /// them.
    #[default]
    Homes,
}

impl Policy {
    /// All policies, in the order in which the design page describes them.
    pub const ALL: [Self; 3] = [Self::Random, Self::TwoChoices, Self::Homes];

    /// Returns the value of the `--policy` flag.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::TwoChoices => "two-choices",
            Self::Homes => "homes",
        }
    }

    /// Returns whether a pool under this policy is the only sender to its targets, and may
    /// therefore count their slots.
    pub fn owns_slots(self) -> bool {
        self == Self::Homes
    }

    /// Returns whether slow targets are ejected. `Random` uses no information about targets at all.
    pub fn detects_outliers(self) -> bool {
        self != Self::Random
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Policy {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        Self::ALL
            .into_iter()
            .find(|policy| policy.as_str() == text)
            .ok_or_else(|| {
                Error::new(
                    ResultCode::BadSetting,
                    format!("`{}` is not a valid policy", text.escape_debug()),
                    "use `random`, `two-choices` or `homes`",
                )
            })
    }
}
