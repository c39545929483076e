//! One VM's part of the requests that a limited target takes from all VMs together.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use crate::preferred_targets;
use crate::request_rate::RequestRate;
use crate::target_id::TargetId;
use crate::vm_roster::VmRecord;
use crate::vm_roster::VmRoster;

/// Requests that the VMs of a target's group may send at once, together, in addition to those of one
/// second at the target's rate.
const COMMON_BURST: f64 = 3.0;
/// The bounds of the length of a turn.
const TURN_LENGTHS: (f64, f64) = (4.0, 30.0);
/// Requests that the target takes for each turn.
const REQUESTS_PER_TURN: f64 = 8.0;
/// The number of VMs that is assumed while the list of VMs is not known.
const ASSUMED_VMS: usize = 64;

/// One VM's part of a target's limit.
///
/// A part of less than one request in a few seconds is of no use, and if each of many VMs saved one
/// request, they could send all of these at once. So a small group of VMs shares the rate, and the
/// group follows from the list of VMs alone. It is spread over the failure domains. Each VM of the
/// list has its turn as well, in which it may find out whether the limit still holds if it has not
/// heard of it for long.
///
/// In every window of `t` seconds, the group sends at most `rate * t` requests plus the burst, which
/// is [`COMMON_BURST`] plus `rate`, and the turns allow one request for each turn that the window
/// touches.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LimitShare {
    /// Requests per second that this VM may send; 0 if it is not in the group.
    pub rate: f64,
    /// Requests that it may have saved; 0 if it is not in the group.
    pub burst: f64,
    /// The number of this VM's turn.
    index: u64,
    /// The number of turns until its next one.
    turns: u64,
    /// The length of a turn in seconds.
    turn: f64,
}

impl LimitShare {
    /// Returns the part of the VM `me`. A VM that the others may not know of yet (`is_new`) stays out
    /// of the group, because the others share all of the rate among themselves.
    pub fn new(
        roster: &VmRoster,
        me: &str,
        is_new: bool,
        target: &TargetId,
        rate: RequestRate,
    ) -> Self {
        let order = spread_order(roster, target);
        let burst = COMMON_BURST + rate.per_second();
        let members = group_size(rate, order.len());
        let position = order.iter().position(|vm| *vm.name == *me);
        let is_member = !is_new && position.is_some_and(|position| position < members);
        let part = if is_member { 1.0 / members as f64 } else { 0.0 };
        let turns = if order.is_empty() {
            ASSUMED_VMS
        } else {
            order.len()
        };
        let unlisted = preferred_targets::rank(me, target.as_str()) as usize % turns;
        let (shortest, longest) = TURN_LENGTHS;
        Self {
            rate: rate.per_second() * part,
            burst: burst * part,
            index: position.unwrap_or(unlisted) as u64,
            turns: turns as u64,
            turn: (REQUESTS_PER_TURN / rate.per_second()).clamp(shortest, longest),
        }
    }

    /// Returns the number of this VM's turn if it has it at `wall`, the time since the Unix epoch.
    pub fn turn_at(&self, wall: Duration) -> Option<u64> {
        let turn = (wall.as_secs_f64() / self.turn) as u64;
        (turn % self.turns == self.index).then_some(turn)
    }
}

/// Returns the VMs of a target's group of the given size. Groups of other sizes have the first ones
/// in common.
pub fn first_of_group<'a>(
    roster: &'a VmRoster,
    target: &TargetId,
    size: usize,
) -> Vec<&'a VmRecord> {
    let mut order = spread_order(roster, target);
    order.truncate(size);
    order
}

/// Returns the number of VMs, of `vms`, that share a rate: each of them can save one request.
pub fn group_size(rate: RequestRate, vms: usize) -> usize {
    ((COMMON_BURST + rate.per_second()) as usize).clamp(1, vms.max(1))
}

/// Returns all VMs in the order in which they join the target's group: first one of each failure
/// domain, then the second ones.
fn spread_order<'a>(roster: &'a VmRoster, target: &TargetId) -> Vec<&'a VmRecord> {
    let mut domains: BTreeMap<&str, Vec<_>> = BTreeMap::new();
    for vm in roster.iter() {
        let rank = preferred_targets::rank(&vm.name, target.as_str());
        let ranked = domains.entry(vm.domain.as_str()).or_default();
        ranked.push((Reverse(rank), &vm.name, vm));
    }
    let mut order = Vec::new();
    for mut ranked in domains.into_values() {
        ranked.sort_unstable_by_key(|(rank, name, _)| (*rank, *name));
        order.extend(ranked.into_iter().enumerate());
    }
    order.sort_unstable_by_key(|(round, (rank, name, _))| (*round, *rank, *name));
    order.into_iter().map(|(_, (_, _, vm))| vm).collect()
}
