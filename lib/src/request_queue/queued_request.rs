//! A request that needs a target.

use std::time::Duration;
use std::time::Instant;

use crate::access::organisation_id::OrganisationId;
use crate::request_queue::priority::Priority;

/// What the queue needs to know of a request.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// How urgent it is.
    pub priority: Priority,
    /// The organisation that sent it. All requests without one share a place in the fair order.
    pub organisation: Option<OrganisationId>,
    /// Whether the organisation has got more than its fair share, so that it goes after others of
    /// the priority. Otherwise requests that leave slots free would hold up those that need not.
    pub above_share: bool,
    /// How long it is expected to occupy a slot.
    pub work: Duration,
    /// Until when it may wait for a target.
    pub wait_end: Instant,
}
