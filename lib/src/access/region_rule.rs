//! The regions in which one request may be handled.

use crate::access::allowed_regions::AllowedRegions;
use crate::region_id::RegionId;

/// The regions in which one request may be handled, by its route and by the organisation that sent
/// it. Both apply.
#[derive(Clone, Copy, Debug)]
pub struct RegionRule<'a> {
    /// The regions of the route.
    pub route: &'a AllowedRegions,
    /// The regions of the organisation, if one sent the request.
    pub organisation: Option<&'a AllowedRegions>,
}

impl RegionRule<'_> {
    /// Returns whether every region is allowed.
    pub fn is_unrestricted(&self) -> bool {
        let organisation = self.organisation;
        self.route.is_unrestricted() && organisation.is_none_or(AllowedRegions::is_unrestricted)
    }

    /// Returns whether a target in `region` may get the request.
    pub fn allows(&self, region: Option<&RegionId>) -> bool {
        let organisation = self.organisation;
        self.route.allows(region) && organisation.is_none_or(|regions| regions.allows(region))
    }
}
