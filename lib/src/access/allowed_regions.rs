//! The regions in which requests may be handled.

use std::collections::BTreeSet;

use crate::region_id::RegionId;

/// The regions in which the requests of a route or an organisation may be handled; everywhere if
/// none is named.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AllowedRegions(Option<BTreeSet<RegionId>>);

impl AllowedRegions {
    /// Creates the set from what a configuration lists. An empty list restricts nothing.
    pub fn new(regions: Vec<RegionId>) -> Self {
        let regions: BTreeSet<RegionId> = regions.into_iter().collect();
        Self(Some(regions).filter(|regions| !regions.is_empty()))
    }

    /// Returns whether every region is allowed.
    pub fn is_unrestricted(&self) -> bool {
        self.0.is_none()
    }

    /// Returns the regions that are named, in order; none if every region is allowed.
    pub fn iter(&self) -> impl Iterator<Item = &RegionId> {
        self.0.iter().flatten()
    }

    /// Returns whether there is a region that both sets allow.
    pub fn meets(&self, other: &Self) -> bool {
        match (&self.0, &other.0) {
            (Some(regions), Some(others)) => !regions.is_disjoint(others),
            _ => true,
        }
    }

    /// Returns whether a target in `region` may get the requests. One whose region is not known may
    /// not, if regions are named.
    pub fn allows(&self, region: Option<&RegionId>) -> bool {
        let Some(allowed) = &self.0 else {
            return true;
        };
        region.is_some_and(|region| allowed.contains(region))
    }
}
