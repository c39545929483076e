//! The configuration and the roster of a simulation.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use carobshore_lib::prelude::DomainId;
use carobshore_lib::prelude::Member;
use carobshore_lib::prelude::Offset;
use carobshore_lib::prelude::Roster;
use carobshore_lib::prelude::Service;
use carobshore_lib::prelude::ServiceId;
use carobshore_lib::prelude::Slots;
use carobshore_lib::prelude::Target;
use carobshore_lib::prelude::TargetId;
use carobshore_lib::prelude::TargetState;
use carobshore_lib::prelude::TargetTime;
use carobshore_lib::prelude::Version;
use carobshore_lib::prelude::VmId;

use crate::sim_spec::SimSpec;

/// The connection budget per target at Shamaa.
const CONNECTIONS: u32 = 220;

/// Returns an address for structs that need one; nothing listens on it.
pub(crate) fn any_addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// Returns the id of the service.
pub(crate) fn service_id() -> ServiceId {
    "service".parse().expect("a valid name")
}

/// Returns the id of a VM.
pub(crate) fn vm_id(index: usize) -> VmId {
    VmId::with_incarnation(&format!("vm{index}"), 1).expect("a valid name")
}

/// Returns the id of a failure domain.
pub(crate) fn domain_id(index: usize) -> DomainId {
    format!("domain{index}").parse().expect("a valid name")
}

/// Returns the id of a target.
pub(crate) fn target_id(index: usize) -> TargetId {
    format!("target{index}").parse().expect("a valid name")
}

/// Returns the service with all its targets.
pub(crate) fn service(spec: &SimSpec, addr: SocketAddr) -> Service {
    let size = &spec.size;
    let target = |index| Target {
        addr,
        domain: domain_id(size.domain(index)),
        slots: Slots::try_from(size.slots).expect("a valid number of slots"),
        generation: 1,
        state: TargetState::Serving,
    };
    let targets = (0..size.targets).map(|index| (target_id(index), target(index)));
    Service {
        version: Version(1),
        targets: targets.collect(),
        measuring: TargetTime(size.budget.as_micros() as u64),
        connections: CONNECTIONS,
    }
}

/// Returns the roster with those VMs for which `exists` holds.
pub(crate) fn roster(spec: &SimSpec, addr: SocketAddr, exists: impl Fn(usize) -> bool) -> Roster {
    let member = |index| Member {
        domain: domain_id(spec.size.domain(index)),
        rpc: addr,
        forward: addr,
        joined: Offset(index as u64),
    };
    let vms = (0..spec.size.vms).filter(|index| exists(*index));
    let members: BTreeMap<_, _> = vms.map(|index| (vm_id(index), member(index))).collect();
    Roster { members }
}
