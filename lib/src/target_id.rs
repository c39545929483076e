//! The id of a target.

crate::name_type!(
    /// Identifies a target within its service.
    TargetId,
    "target id"
);
