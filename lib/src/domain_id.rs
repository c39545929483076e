//! The id of a failure domain.

crate::name_type!(
    /// Identifies a failure domain: a part of a region that can fail as a whole.
    DomainId,
    "failure domain"
);
