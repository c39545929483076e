//! Which VMs to ask for a request that one of them may send to a limited target.
//!
//! The VMs of a target's group hold its rate, but callers come to all VMs. A VM without a part asks
//! a member of the group to give up one request, so that what the group may send in all stays the
//! same.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::domain_id::DomainId;
use crate::limit_share;
use crate::target_id::TargetId;
use crate::vm_roster::VmRoster;

/// Largest number of VMs that are asked for one request.
const MAX_ASKED: usize = 3;
/// Largest number of targets that are considered for one request.
const MAX_TARGETS: usize = 4;
/// How long a VM is not asked again if it does not answer, or does not know of the limit.
const SILENCE: Duration = Duration::from_secs(1);
/// The longest time for which a VM is not asked again, whatever it says.
const MAX_SILENCE: Duration = Duration::from_secs(60);

/// A VM that may have a request for a target to give up.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lender {
    /// The limited target.
    pub target: TargetId,
    /// The address at which the VM answers other VMs.
    pub vm: SocketAddr,
}

/// What is known of the VMs that have been asked.
#[derive(Debug, Default)]
pub struct LimitLenders {
    /// Until when each one has nothing to give up.
    empty: HashMap<Lender, Instant>,
    /// The number of choices so far, which spreads the questions.
    choices: usize,
}

impl LimitLenders {
    /// Returns whom `me` asks for a request to one of the targets, each with the size of the group
    /// that shares its rate. VMs of its own failure domain come first.
    pub fn choose(
        &mut self,
        now: Instant,
        roster: &VmRoster,
        (me, domain): (&str, &DomainId),
        targets: &[(TargetId, usize)],
    ) -> Vec<Lender> {
        self.empty.retain(|_, until| *until > now);
        self.choices = self.choices.wrapping_add(1);
        let start = self.choices % targets.len().max(1);
        let rotated = targets.iter().cycle().skip(start);
        let mut chosen = Vec::new();
        for (target, size) in rotated.take(targets.len().min(MAX_TARGETS)) {
            let members = limit_share::first_of_group(roster, target, *size);
            for vm in members.into_iter().filter(|vm| *vm.name != *me) {
                let lender = Lender {
                    target: target.clone(),
                    vm: vm.feed,
                };
                if !self.empty.contains_key(&lender) {
                    chosen.push((vm.domain != *domain, lender));
                }
            }
            if chosen.len() >= MAX_ASKED {
                break;
            }
        }
        chosen.sort_by_key(|(is_remote, _)| *is_remote);
        chosen.truncate(MAX_ASKED);
        chosen.into_iter().map(|(_, lender)| lender).collect()
    }

    /// Records that a VM has nothing to give up, and after how long it will; nothing if it does not
    /// say so.
    pub fn refused(&mut self, now: Instant, lender: Lender, next: Option<Duration>) {
        let silence = next.unwrap_or(SILENCE).min(MAX_SILENCE);
        self.empty.insert(lender, now + silence);
    }

    /// Returns the time until one of the VMs may have something to give up for a target.
    pub fn next_in(&self, now: Instant, target: &TargetId) -> Option<Duration> {
        let known = self.empty.iter();
        let times = known.filter(|(lender, _)| lender.target == *target);
        let next = times.map(|(_, until)| *until).min()?;
        Some(next.saturating_duration_since(now))
    }
}
