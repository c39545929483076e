//! The id of a region.

crate::name_type!(
    /// Names a region, which holds several failure domains.
    RegionId,
    "region"
);
