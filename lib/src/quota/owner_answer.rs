//! What an owner says when it is asked for tokens.

use std::time::Duration;

/// What an owner says when it is asked for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerAnswer {
    /// It grants this many.
    Granted(u32),
    /// It has none; the VM may ask again after this time.
    Empty(Duration),
    /// It does not own the quota: it is new, or its list of VMs is another one.
    NotOwner,
    /// It does not answer. It may have granted tokens, which nobody can use now.
    Silent,
}
