//! The VMs that have registered in the store, and from which VMs each one takes changes.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::domain_id::DomainId;
use crate::store_era::StoreEra;

/// A VM as it registers itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// The VM's name.
    pub name: Box<str>,
    /// Its failure domain.
    pub domain: DomainId,
    /// The address at which it passes changes on to other VMs.
    pub feed: SocketAddr,
    /// The bandwidth of its link in Mbit/s; 0 if it does not say.
    #[serde(default)]
    pub link: u32,
    /// The era of the store in which it registered last; nothing if it does not say, as in the release
    /// before. In a later era the record is one of the copy from which the store came back.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub era: Option<StoreEra>,
}

impl VmRecord {
    /// Returns whether both are of one VM with the same failure domain, address and link.
    fn is_same(&self, other: &Self) -> bool {
        let Self {
            name,
            domain,
            feed,
            link,
            era: _,
        } = self;
        (name, domain, feed, link) == (&other.name, &other.domain, &other.feed, &other.link)
    }
}

/// All VMs that have ever registered. Some may be gone, so their number is an upper bound, which is
/// what shares of a common budget require.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct VmRoster {
    vms: Vec<VmRecord>,
}

impl VmRoster {
    /// Creates a roster from the records in the store.
    pub fn new(vms: Vec<VmRecord>) -> Self {
        Self { vms }
    }

    /// Adds a VM and replaces its earlier record.
    pub fn add(&mut self, vm: VmRecord) {
        self.vms.retain(|other| other.name != vm.name);
        self.vms.push(vm);
    }

    /// Returns the number of VMs, or `None` while none is known.
    pub fn len(&self) -> Option<usize> {
        Some(self.vms.len()).filter(|count| *count > 0)
    }

    /// Adds all VMs of another list that this one lacks.
    pub fn merge(&mut self, other: &Self) {
        for vm in &other.vms {
            if !self.vms.iter().any(|known| known.name == vm.name) {
                self.vms.push(vm.clone());
            }
        }
    }

    /// Returns all VMs.
    pub fn iter(&self) -> impl Iterator<Item = &VmRecord> {
        self.vms.iter()
    }

    /// Returns whether no VM is known.
    pub fn is_empty(&self) -> bool {
        self.vms.is_empty()
    }

    /// Returns whether the roster has this VM as it is, whenever it registered.
    pub fn has(&self, vm: &VmRecord) -> bool {
        self.vms.iter().any(|known| known.is_same(vm))
    }

    /// Returns whether the roster has this VM as it is, and no earlier era than `era` is named for it. VMs
    /// that read the list in that era then know it.
    pub fn has_since(&self, era: StoreEra, vm: &VmRecord) -> bool {
        let is_since = |known: &VmRecord| known.era.is_none_or(|registered| registered >= era);
        self.vms
            .iter()
            .any(|known| known.is_same(vm) && is_since(known))
    }

    /// Returns the VMs that have registered in an era or a later one.
    pub fn registered_in(&self, era: StoreEra) -> Self {
        let vms = self.vms.iter().filter(|vm| vm.era >= Some(era));
        Self {
            vms: vms.cloned().collect(),
        }
    }

    /// Returns the VMs from which `me` may take changes, the preferred one first: the VMs of its
    /// failure domain that precede it in an order that is the same on all VMs. Therefore no two VMs
    /// take changes from each other, whatever each of them knows of the others.
    pub fn sources(&self, me: &str, domain: &DomainId) -> Vec<&VmRecord> {
        let mut preceding = self.in_domain(domain);
        preceding.retain(|vm| order_key(vm.link, &vm.name) < self.order_key_of(me));
        preceding
    }

    /// Returns the VMs of other failure domains from which `me` may take changes if it is the first
    /// one of its own: the first one of each domain, if it precedes `me` in the order of all VMs. So
    /// one VM reads the store for all domains.
    pub fn remote_sources(&self, me: &str, domain: &DomainId) -> Vec<&VmRecord> {
        let mut firsts: BTreeMap<&str, &VmRecord> = BTreeMap::new();
        for vm in self.vms.iter().filter(|vm| vm.domain != *domain) {
            let first = firsts.entry(vm.domain.as_str()).or_insert(vm);
            if order_key(vm.link, &vm.name) < order_key(first.link, &first.name) {
                *first = vm;
            }
        }
        let mut preceding: Vec<_> = firsts.into_values().collect();
        preceding.retain(|vm| order_key(vm.link, &vm.name) < self.order_key_of(me));
        preceding.sort_by_key(|vm| order_key(vm.link, &vm.name));
        preceding
    }

    /// Returns the VMs of the failure domain that may take changes from `me`. While it has no other
    /// source, `me` may learn from them, but it must not pass that on as if it had a source.
    pub fn followers(&self, me: &str, domain: &DomainId) -> Vec<&VmRecord> {
        let mut following = self.in_domain(domain);
        following.retain(|vm| order_key(vm.link, &vm.name) > self.order_key_of(me));
        following
    }

    /// Returns the VMs of each failure domain in the order that is the same on all VMs.
    pub fn domains(&self) -> Vec<Vec<&VmRecord>> {
        let mut domains: BTreeMap<&str, Vec<&VmRecord>> = BTreeMap::new();
        for vm in &self.vms {
            domains.entry(vm.domain.as_str()).or_default().push(vm);
        }
        let mut domains: Vec<_> = domains.into_values().collect();
        for vms in &mut domains {
            vms.sort_by_key(|vm| order_key(vm.link, &vm.name));
        }
        domains
    }

    fn in_domain(&self, domain: &DomainId) -> Vec<&VmRecord> {
        let vms = self.vms.iter().filter(|vm| vm.domain == *domain);
        let mut vms: Vec<_> = vms.collect();
        vms.sort_by_key(|vm| order_key(vm.link, &vm.name));
        vms
    }

    fn order_key_of<'a>(&self, name: &'a str) -> (Reverse<u32>, u64, &'a str) {
        let vm = self.vms.iter().find(|vm| *vm.name == *name);
        order_key(vm.map_or(0, |vm| vm.link), name)
    }
}

/// Returns the position of a VM in an order that is the same on all VMs. Those with the largest links
/// come first, because the first one serves all others.
fn order_key(link: u32, name: &str) -> (Reverse<u32>, u64, &str) {
    (Reverse(link), xxh3_64(name.as_bytes()), name)
}
