//! The id of a service.

crate::name_type!(
    /// Identifies a service, which callers request and targets provide.
    ServiceId,
    "service id"
);
