//! Which VMs own the quotas of organisations.

use std::cmp::Reverse;
use std::net::SocketAddr;

use crate::access::organisation_id::OrganisationId;
use crate::domain_id::DomainId;
use crate::preferred_targets;
use crate::vm_roster::VmRecord;
use crate::vm_roster::VmRoster;

/// The largest number of owners of a quota. With more of them, each one's share of a small quota
/// would be less than a request.
const MAX_OWNERS: usize = 3;

/// A VM that may own quotas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The VM's name.
    pub name: Box<str>,
    /// Its failure domain.
    pub domain: DomainId,
    /// The address at which it answers other VMs.
    pub addr: SocketAddr,
}

impl From<&VmRecord> for Owner {
    fn from(vm: &VmRecord) -> Self {
        Self {
            name: vm.name.clone(),
            domain: vm.domain.clone(),
            addr: vm.feed,
        }
    }
}

/// The VMs from which owners are chosen, by failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnerPools {
    pools: Vec<Vec<Owner>>,
}

impl OwnerPools {
    /// Chooses the pools: of each failure domain the first VMs in the order of the list, as many as the
    /// square root of the number of all VMs. These have the largest links.
    pub fn new(roster: &VmRoster) -> Self {
        let size = (roster.len().unwrap_or(0) as f64).sqrt().ceil() as usize;
        let domains = roster.domains().into_iter();
        let pool = |vms: Vec<&VmRecord>| vms.into_iter().take(size).map(Owner::from).collect();
        Self {
            pools: domains.map(pool).collect(),
        }
    }

    /// Returns the owners of an organisation's quota: one of each failure domain, in three domains at
    /// most.
    pub fn owners(&self, organisation: &OrganisationId) -> Vec<&Owner> {
        let rank = |owner: &&Owner| {
            let rank = preferred_targets::rank(&owner.name, organisation.as_str());
            (Reverse(rank), owner.name.clone())
        };
        let pools = self.pools.iter();
        let mut owners: Vec<&Owner> = pools
            .filter_map(|pool| pool.iter().min_by_key(rank))
            .collect();
        owners.sort_by_key(|owner| {
            let rank = preferred_targets::rank(owner.domain.as_str(), organisation.as_str());
            Reverse(rank)
        });
        owners.truncate(MAX_OWNERS);
        owners
    }

    /// Returns whether no VM is known.
    pub fn is_empty(&self) -> bool {
        self.pools.is_empty()
    }
}
