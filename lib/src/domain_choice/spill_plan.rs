//! How many requests should leave a failure domain, and for which others.

use std::time::Instant;

use crate::domain_choice::domain_state::DomainState;
use crate::domain_id::DomainId;

/// Requests per slot from which a domain sends requests to others.
pub const CROWDED: f64 = 0.75;
/// Requests per slot up to which a domain takes requests of others. The gap to [`CROWDED`] keeps a
/// domain that takes some from sending its own away.
const ROOMY: f64 = 0.7;
/// Largest part of the room of other domains that is used. Their own demand may rise before the
/// share falls.
const USED_ROOM: f64 = 0.5;
/// Largest share that is assumed to have left, for the estimate of the demand.
const MAX_LEFT: f64 = 0.9;

/// How many requests should leave a failure domain, and for which others.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SpillPlan {
    /// The share of the requests, from 0 to 1.
    pub share: f64,
    /// The domains with room, with their free slots up to [`ROOMY`].
    pub rooms: Vec<(DomainId, f64)>,
}

impl SpillPlan {
    /// Computes the share for the domain `own`. `left` is the share of its requests that leave it
    /// now: the reports show the load without these, so that a domain whose share has relieved it
    /// would otherwise call them back at once.
    ///
    /// The plan is that of the whole domain: each of its VMs sends the same share of its own
    /// requests, so that they need not know each other's demand.
    pub fn new<'a>(
        now: Instant,
        own: &DomainState,
        others: impl Iterator<Item = (&'a DomainId, &'a DomainState)>,
        left: f64,
    ) -> Self {
        let Some(load) = own.load(now).filter(|_| own.capacity.slots > 0) else {
            return Self::default();
        };
        let own_slots = f64::from(own.capacity.slots);
        let held = load * own_slots;
        let demand = held / (1.0 - left.min(MAX_LEFT));
        if demand < CROWDED * own_slots {
            return Self::default();
        }
        let mut spilling = own.capacity.vms.max(1);
        let (mut all_held, mut all_slots) = (held, own_slots);
        let mut rooms = Vec::new();
        for (id, other) in others {
            let slots = f64::from(other.capacity.slots);
            // The VMs of a domain whose load is not known may be short of targets, too.
            if other.load(now).is_none_or(|load| load >= CROWDED) {
                spilling += other.capacity.vms;
            }
            if let Some(load) = other.cautious_load(now).filter(|load| *load < ROOMY) {
                all_held += load * slots;
                all_slots += slots;
                rooms.push((id.clone(), (ROOMY - load) * slots));
            }
        }
        let even = 1.0 - all_held / all_slots * own_slots / demand;
        let free: f64 = rooms.iter().map(|(_, room)| room).sum();
        // Without this domain's requests, the others would have more room.
        let room = if rooms.is_empty() {
            0.0
        } else {
            free + (demand - held)
        };
        let of_each = USED_ROOM * room / spilling as f64;
        let allowed = of_each * own.capacity.vms.max(1) as f64 / demand;
        Self {
            share: even.min(allowed).clamp(0.0, 1.0),
            rooms,
        }
    }
}
