//! The id of a route.

crate::name_type!(
    /// Identifies a route of the confirmed configuration.
    RouteId,
    "route id"
);
