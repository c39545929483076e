//! Who may use a route, and where its requests may be handled.

use crate::access::allowed_regions::AllowedRegions;

/// Who may use a route, and where its requests may be handled.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteAccess {
    /// Whether requests need no key, although there are organisations.
    pub public: bool,
    /// The regions in which its requests may be handled.
    pub regions: AllowedRegions,
}
