//! Guards against clients that take more connections or memory than they are given, and against a
//! table that keeps what has been released or refuses callers that hold little.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::byte_size::ByteSize;
use carobshore_lib::memory_budget::client_id::ClientId;
use carobshore_lib::memory_budget::client_table::Admission;
use carobshore_lib::memory_budget::client_table::ClientTable;
use carobshore_lib::memory_budget::client_table::MIN_STALL;
use carobshore_lib::memory_budget::connection_bounds::ChosenBounds;
use carobshore_lib::memory_budget::connection_bounds::ConnectionBounds;
use carobshore_lib::memory_budget::memory_bounds::DEFAULT_PERCENT;
use carobshore_lib::memory_budget::memory_bounds::MemoryBounds;
use carobshore_lib::memory_budget::phase::Phase;
use carobshore_lib::memory_budget::pipeline_bounds::OwedResponses;
use carobshore_lib::memory_budget::pipeline_bounds::PipelineBounds;
use carobshore_lib::memory_budget::pressure::Pressure;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::proptest;

const VM_MEMORY: ByteSize = ByteSize(160 << 20);
const PHASES: [Phase; 4] = [
    Phase::Idle,
    Phase::Receiving,
    Phase::Serving,
    Phase::Writing,
];

fn addr(last: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, 0, last))
}

fn memory() -> MemoryBounds {
    MemoryBounds::try_from((VM_MEMORY, DEFAULT_PERCENT)).expect("bounds")
}

fn table(total: u32, address: u32) -> ClientTable {
    let connections = ConnectionBounds::try_from((total, address)).expect("bounds");
    ClientTable::new(connections, memory())
}

fn admit(table: &mut ClientTable, now: Instant, last: u8) -> Option<(ClientId, Option<ClientId>)> {
    match table.admit(now, addr(last)) {
        Admission::Admitted { client, closed } => Some((client, closed)),
        Admission::Refused => None,
    }
}

#[test]
fn the_largest_body_fits_into_the_smallest_vm() {
    let now = Instant::now();
    let mut table = table(10, 10);
    let (large, _) = admit(&mut table, now, 1).expect("a connection");
    let (small, _) = admit(&mut table, now, 2).expect("a connection");
    assert!(table.resize(large, 0, 64 << 20));
    assert!(table.resize(small, 0, 64 << 10));
    assert!(!table.resize(small, 64 << 10, 65 << 10));
    assert!(table.held() < VM_MEMORY.0 / 2);
}

#[test]
fn a_usual_response_fits_beside_the_largest_body() {
    let now = Instant::now();
    let mut table = table(10, 10);
    let (large, _) = admit(&mut table, now, 1).expect("a connection");
    assert!(table.resize(large, 0, 64 << 20));
    let response = table.add_response(now);
    assert!(table.resize(response, 0, 128 << 10));
    assert!(!table.resize(response, 128 << 10, 129 << 10));
    table.remove(response);
    table.remove(large);
    assert_eq!(table.held(), 0);
}

#[test]
fn the_longest_idle_connection_of_a_full_address_makes_room_for_its_next_one() {
    let now = Instant::now();
    let mut table = table(20, 4);
    let clients: Vec<_> = (0..10)
        .map(|index| admit(&mut table, now + Duration::from_millis(index), 1))
        .map(|admitted| admitted.expect("less than half are in use").0)
        .collect();
    table.progress(now, clients[0], Phase::Serving);
    let (_, closed) = admit(&mut table, now + MIN_STALL, 1).expect("a connection");
    assert_eq!(closed, Some(clients[1]));
    let later = now + MIN_STALL * 2;
    assert!(
        admit(&mut table, later, 2)
            .expect("a connection")
            .1
            .is_none()
    );
}

#[test]
fn an_address_with_busy_connections_alone_gets_no_more() {
    let now = Instant::now();
    let mut table = table(8, 4);
    for _ in 0..4 {
        let (client, _) = admit(&mut table, now, 1).expect("a connection");
        table.progress(now, client, Phase::Serving);
    }
    assert_eq!(admit(&mut table, now + MIN_STALL * 9, 1), None);
    assert_eq!(table.len(), 4);
}

#[test]
fn a_new_address_gets_in_when_few_addresses_hold_all_connections() {
    let now = Instant::now();
    let mut table = table(8, 4);
    for index in 0..8 {
        admit(&mut table, now, 1 + index % 2).expect("a connection");
    }
    let (_, closed) = admit(&mut table, now, 9).expect("a connection");
    assert!(closed.is_some());
    assert_eq!(table.len(), 8);
}

#[test]
fn who_holds_most_for_longest_without_progress_makes_room() {
    let now = Instant::now();
    let mut table = table(10, 10);
    let clients: Vec<_> = (0..4)
        .map(|_| admit(&mut table, now, 1).expect("a connection").0)
        .collect();
    for (client, mib) in clients.iter().zip([10, 20, 5, 0]) {
        assert!(table.resize(*client, 0, mib << 20));
        table.progress(now, *client, Phase::Writing);
    }
    // One that a target makes wait is not to blame.
    table.progress(now, clients[2], Phase::Serving);
    assert!(!table.resize(clients[3], 0, 12 << 20));
    assert!(table.make_room(now, clients[3], 12 << 20).is_empty());
    let later = now + MIN_STALL;
    assert_eq!(table.make_room(later, clients[3], 12 << 20), [clients[1]]);
    assert!(table.resize(clients[3], 0, 12 << 20));
    assert!(table.make_room(later, clients[3], 90 << 20).is_empty());
}

#[test]
fn no_request_is_started_while_long_responses_wait() {
    let bounds = PipelineBounds::default();
    let owed = |unanswered, waiting, longest| OwedResponses {
        unanswered,
        waiting,
        longest,
    };
    assert!(bounds.may_start(owed(0, 2 << 20, 2 << 20)));
    assert!(bounds.may_start(owed(31, 1 << 20, 1 << 10)));
    assert!(!bounds.may_start(owed(32, 0, 0)));
    assert!(!bounds.may_start(owed(1, (1 << 20) + 1, 0)));
    assert!(!bounds.may_start(owed(3, 0, 400 << 10)));
    assert!(bounds.may_read(0) && !bounds.may_read(256 << 10));
}

#[test]
fn the_bounds_of_a_vm_follow_from_its_descriptors_and_memory() {
    let derive = |descriptors, memory| {
        let bounds = ConnectionBounds::derive(descriptors, memory, ChosenBounds::default());
        (bounds.total, bounds.address)
    };
    assert_eq!(derive(Some(4_100), VM_MEMORY), (2_925, 731));
    assert_eq!(derive(Some(400), VM_MEMORY), (150, 64));
    assert_eq!(derive(None, VM_MEMORY), (3_413, 853));
    assert_eq!(derive(Some(0), ByteSize(0)), (1, 1));
    assert_eq!(ConnectionBounds::derive_kept(Some(4_100), 1_024).total, 487);
    assert!(MemoryBounds::try_from((VM_MEMORY, 0)).is_err());
    assert!(ConnectionBounds::try_from((4, 5)).is_err());
}

#[test]
fn a_bound_is_logged_once_until_it_is_free_again() {
    let now = Instant::now();
    let mut pressure = Pressure::default();
    assert!(pressure.met(now) && !pressure.met(now));
    assert!(!pressure.is_over(now + Duration::from_secs(4)));
    let later = now + Duration::from_secs(5);
    assert!(pressure.is_over(later) && !pressure.is_over(later));
    assert!(pressure.met(later));
}

proptest! {
    /// Whatever clients do, the bounds hold, clients that hold little keep their reserve, and nothing is
    /// left when all have gone.
    #[test]
    fn the_bounds_hold(steps in vec((0_u8..5, any::<u8>(), any::<u32>()), 1..300)) {
        let now = Instant::now();
        let bounds = memory();
        let mut table = table(12, 4);
        let mut held: Vec<(ClientId, u64)> = Vec::new();
        for (at, (step, who, size)) in (0_u32..).zip(steps) {
            let now = now + Duration::from_millis(300) * at;
            let bytes = u64::from(size) % (70 << 20);
            let index = usize::from(who) % held.len().max(1);
            let client = held.get(index).copied();
            match (step, client) {
                (0, _) => {
                    let admitted = admit(&mut table, now, who % 5);
                    if let Some((client, closed)) = admitted {
                        held.retain(|(id, _)| Some(*id) != closed);
                        held.push((client, 0));
                    }
                }
                (1, Some((id, _))) => {
                    table.remove(id);
                    held.swap_remove(index);
                }
                (2, Some((id, _))) => table.progress(now, id, PHASES[usize::from(who % 4)]),
                (3, Some((id, from))) => {
                    let closed = table.make_room(now, id, bytes.saturating_sub(from));
                    held.retain(|(id, _)| !closed.contains(id));
                }
                (_, Some((id, from))) => if table.resize(id, from, bytes) {
                    held[index].1 = bytes;
                },
                (_, None) => {}
            }
            assert!(table.len() <= 12 && table.len() as usize == held.len());
            assert_eq!(table.held(), held.iter().map(|(_, bytes)| bytes).sum::<u64>());
            let is_small = |bytes: &u64| *bytes <= bounds.small.0;
            let large = held.iter().map(|(_, bytes)| *bytes).filter(|bytes| !is_small(bytes));
            let large: Vec<u64> = large.collect();
            let most = bounds.total.0 - bounds.reserve.0;
            assert!(large.iter().sum::<u64>() <= most || large.len() == 1 && large[0] <= bounds.lone.0);
            let mut probe = table.clone();
            let response = probe.add_response(now);
            assert!(probe.resize(response, 0, bounds.small.0));
        }
        held.iter().for_each(|(id, _)| table.remove(*id));
        assert!(table.is_empty() && table.held() == 0);
    }
}
