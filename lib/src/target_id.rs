//! The id of a target.

crate::name_type!(
    /// Names one target within its service.
    TargetId,
    "target id"
);
