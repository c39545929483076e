//! Guards against body memory that stays reserved after its request, until all requests are
//! refused.

use carobshore_gateway::body_memory::BodyMemory;

#[test]
fn memory_is_released_when_the_reservation_is_dropped() {
    let memory = BodyMemory::default();
    let first = memory.reserve(60, 100).expect("memory");
    assert!(memory.reserve(60, 100).is_none());
    assert_eq!(memory.used(), 60);
    drop(first);
    assert_eq!(memory.used(), 0);
    assert!(memory.reserve(100, 100).is_some());
}

#[test]
fn a_length_that_overflows_the_count_is_refused() {
    let memory = BodyMemory::default();
    let _first = memory.reserve(60, 100).expect("memory");
    assert!(memory.reserve(u64::MAX, 100).is_none());
    assert_eq!(memory.used(), 60);
}
