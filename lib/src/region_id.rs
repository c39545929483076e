//! The id of a region.

crate::name_type!(
    /// Identifies a region, which contains several failure domains.
    RegionId,
    "region"
);
