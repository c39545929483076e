//! Whether the targets of a failure domain may get requests.

/// Whether the targets of a failure domain may get requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DomainState {
    /// They may.
    Open,
    /// An evacuation was withdrawn, and this VM returns later than others. The targets may get
    /// requests if their service has no others.
    Returning,
    /// They may not.
    Evacuated,
}
