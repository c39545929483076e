//! Which VMs are the homes of a service, and which targets and keys each home owns.

use std::collections::BTreeMap;

use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

use crate::domain_id::DomainId;
use crate::request_key::RequestKey;
use crate::roster::Roster;
use crate::service::Service;
use crate::service_id::ServiceId;
use crate::target_id::TargetId;
use crate::vm_id::VmId;

/// Settings of the assignment. They have to be the same on all VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HomesSettings {
    /// Homes of a service in each failure domain that has live VMs.
    pub per_domain: u32,
}

impl Default for HomesSettings {
    fn default() -> Self {
        Self { per_domain: 1 }
    }
}

/// The homes of one service. Equal inputs give equal homes on every VM.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Homes {
    seats: Vec<Seat>,
    owners: BTreeMap<TargetId, usize>,
}

/// A position that one home VM fills. Targets are assigned to seats rather than VMs, so that
/// replacing a home's VM moves only the targets of that home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
struct Seat {
    domain: DomainId,
    index: u32,
    vm: VmId,
    /// The number of targets that it owns. With fewer targets than seats, some seats own none.
    targets: u32,
}

impl Homes {
    /// Chooses the homes by rendezvous hashing and divides the targets among them.
    pub fn assign(
        service: &ServiceId,
        spec: &Service,
        roster: &Roster,
        settings: &HomesSettings,
    ) -> Self {
        let mut seats = choose_seats(service, roster, settings);
        let owners = divide_targets(service, spec, &seats);
        for seat in owners.values() {
            seats[*seat].targets += 1;
        }
        Self { seats, owners }
    }

    /// Returns the homes, in the order of their failure domains.
    pub fn vms(&self) -> impl ExactSizeIterator<Item = &VmId> {
        self.seats.iter().map(|seat| &seat.vm)
    }

    /// Returns the number of homes.
    pub fn count(&self) -> u32 {
        u32::try_from(self.seats.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether the VM is a home.
    pub fn contains(&self, vm: &VmId) -> bool {
        self.vms().any(|home| home == vm)
    }

    /// Returns whether the VM is a home that owns targets.
    pub fn owns_targets(&self, vm: &VmId) -> bool {
        self.seats
            .iter()
            .any(|seat| seat.targets > 0 && seat.vm == *vm)
    }

    /// Returns the home that owns the target's slots.
    pub fn owner(&self, target: &TargetId) -> Option<&VmId> {
        self.owners.get(target).map(|seat| &self.seats[*seat].vm)
    }

    /// Returns the targets that the VM owns.
    pub fn targets_of<'a>(&'a self, vm: &'a VmId) -> impl Iterator<Item = &'a TargetId> {
        self.owners
            .iter()
            .filter(move |(_, seat)| self.seats[**seat].vm == *vm)
            .map(|(target, _)| target)
    }

    /// Returns the first home in the failure domain.
    pub fn home_for(&self, domain: &DomainId) -> Option<&VmId> {
        let mut seats = self.seats.iter();
        seats
            .find(|seat| seat.domain == *domain)
            .map(|seat| &seat.vm)
    }

    /// Returns the homes in the failure domain.
    pub fn homes_in<'a>(&'a self, domain: &'a DomainId) -> impl Iterator<Item = &'a VmId> {
        self.seats
            .iter()
            .filter(move |seat| seat.domain == *domain)
            .map(|seat| &seat.vm)
    }

    /// Returns the home that owns the key. Keys belong to seats, as targets do, so that replacing a
    /// home's VM moves only the keys of that home.
    pub fn key_owner(&self, key: &RequestKey) -> Option<&VmId> {
        let rank = |seat: &&Seat| {
            let domain = seat.domain.as_str().as_bytes();
            score(&[key.as_bytes(), domain, &seat.index.to_le_bytes()])
        };
        self.seats.iter().max_by_key(rank).map(|seat| &seat.vm)
    }
}

/// Returns the rendezvous score of a combination. Parts are separated, so that `a`, `bc` and `ab`,
/// `c` have different scores.
fn score(parts: &[&[u8]]) -> u64 {
    let mut hasher = Xxh3::new();
    for part in parts {
        hasher.update(part);
        hasher.update(&[0]);
    }
    hasher.digest()
}

fn choose_seats(service: &ServiceId, roster: &Roster, settings: &HomesSettings) -> Vec<Seat> {
    let mut domains = BTreeMap::<&DomainId, Vec<&VmId>>::new();
    for (vm, member) in &roster.members {
        domains.entry(&member.domain).or_default().push(vm);
    }
    let mut seats = Vec::new();
    for (domain, mut vms) in domains {
        // Each seat ranks the VMs by its own scores. With one ranking for all seats, the loss of
        // the first VM would shift every seat.
        for index in 0..settings.per_domain {
            let best = (0..vms.len())
                .max_by_key(|at| (seat_score(service, domain, index, vms[*at]), vms[*at]));
            let Some(best) = best else { break };
            let vm = vms.swap_remove(best).clone();
            let domain = domain.clone();
            seats.push(Seat {
                domain,
                index,
                vm,
                targets: 0,
            });
        }
    }
    seats
}

fn seat_score(service: &ServiceId, domain: &DomainId, index: u32, vm: &VmId) -> u64 {
    score(&[
        service.as_str().as_bytes(),
        domain.as_str().as_bytes(),
        &index.to_le_bytes(),
        vm.as_str().as_bytes(),
    ])
}

/// Assigns each target to the seat with the highest score among those with capacity: first among
/// the seats of the target's own failure domain, then among all. The capacity of a seat is an equal
/// share of the slots, because each failure domain receives about the same number of requests.
fn divide_targets(
    service: &ServiceId,
    spec: &Service,
    seats: &[Seat],
) -> BTreeMap<TargetId, usize> {
    let mut owners = BTreeMap::new();
    if seats.is_empty() {
        return owners;
    }
    let slots = spec.targets.values().map(|target| target.slots.get());
    let capacity = slots
        .sum::<u32>()
        .div_ceil(u32::try_from(seats.len()).unwrap_or(u32::MAX));
    let mut loads = vec![0; seats.len()];
    let mut order: Vec<_> = spec.targets.iter().collect();
    order.sort_by_cached_key(|(id, _)| {
        score(&[service.as_str().as_bytes(), id.as_str().as_bytes()])
    });
    for own_domain in [true, false] {
        for (id, target) in &order {
            if owners.contains_key(*id) {
                continue;
            }
            let fits = |at: &usize| {
                loads[*at] + target.slots.get() <= capacity
                    && (!own_domain || seats[*at].domain == target.domain)
            };
            let best = (0..seats.len())
                .filter(fits)
                .max_by_key(|at| target_score(id, &seats[*at]));
            if let Some(at) = best {
                loads[at] += target.slots.get();
                owners.insert((*id).clone(), at);
            }
        }
    }
    // Because of rounding, every seat may have fewer slots left than a target needs. The least
    // loaded seat takes it.
    for (id, target) in &order {
        if owners.contains_key(*id) {
            continue;
        }
        let least_loaded = (0..seats.len())
            .min_by_key(|at| (loads[*at], u64::MAX - target_score(id, &seats[*at])));
        if let Some(at) = least_loaded {
            loads[at] += target.slots.get();
            owners.insert((*id).clone(), at);
        }
    }
    owners
}

fn target_score(id: &TargetId, seat: &Seat) -> u64 {
    score(&[
        id.as_str().as_bytes(),
        seat.domain.as_str().as_bytes(),
        &seat.index.to_le_bytes(),
    ])
}
