//! The id of a route.

crate::name_type!(
    /// Names a route of the confirmed configuration.
    RouteId,
    "route id"
);
