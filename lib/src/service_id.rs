//! The id of a service.

crate::name_type!(
    /// Names a service, for which callers ask and which targets serve.
    ServiceId,
    "service id"
);
