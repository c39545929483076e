//! An organisation whose callers share the targets with those of others.

use crate::access::allowed_regions::AllowedRegions;
use crate::access::organisation_id::OrganisationId;
use crate::access::quota::Quota;

/// An organisation, and what it is allowed.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// The name by which targets know it.
    pub id: OrganisationId,
    /// The priority of its requests, if it has one of its own: it takes precedence over the
    /// route's. 0 is the most urgent.
    pub priority: Option<u32>,
    /// How many requests it may send; any number if there is no quota.
    pub quota: Option<Quota>,
    /// The regions in which its requests may be handled.
    pub regions: AllowedRegions,
}
