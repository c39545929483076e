//! Guards against memory that stays held after its request, until all requests are refused.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::time::Instant;

use carobshore_gateway::clients::ClientConnection;
use carobshore_gateway::clients::Clients;
use carobshore_gateway::metrics::Metrics;
use carobshore_lib::byte_size::ByteSize;
use carobshore_lib::memory_budget::connection_bounds::ConnectionBounds;
use carobshore_lib::memory_budget::memory_bounds::MemoryBounds;

const ADDR: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// Returns clients that may hold 100 bytes, all of which count as much.
fn clients() -> Clients {
    let connections = ConnectionBounds::try_from((10, 10)).expect("bounds");
    let memory = MemoryBounds {
        total: ByteSize(100),
        reserve: ByteSize(0),
        lone: ByteSize(0),
        response: ByteSize(100),
        small: ByteSize(0),
    };
    let metrics = Metrics::new().expect("metrics");
    Clients::new("callers", (connections, memory), metrics.client_closures())
}

fn connect(clients: &Clients) -> ClientConnection {
    clients.admit(Instant::now(), ADDR).expect("a connection")
}

#[test]
fn memory_is_released_when_what_holds_it_is_dropped() {
    let clients = clients();
    let (one, other) = (connect(&clients), connect(&clients));
    let mut first = one.hold();
    assert!(first.resize(60));
    assert!(!other.hold().resize(60));
    assert_eq!(clients.held(), 60);
    drop(first);
    assert_eq!(clients.held(), 0);
    let mut all = other.hold();
    assert!(all.resize(100));
    drop(other);
    assert_eq!(clients.held(), 0);
    drop(all);
    assert_eq!(clients.held(), 0);
}

#[test]
fn a_length_that_overflows_the_count_is_refused() {
    let clients = clients();
    let client = connect(&clients);
    let mut first = client.hold();
    assert!(first.resize(60));
    assert!(!client.hold().resize(u64::MAX));
    assert_eq!(clients.held(), 60);
}

#[test]
fn what_outlives_its_connection_is_still_counted() {
    let clients = clients();
    let client = connect(&clients);
    let mut body = client.hold();
    assert!(body.resize(60));
    let body = body.detach();
    drop(client);
    assert_eq!(clients.held(), 60);
    drop(body);
    assert_eq!(clients.held(), 0);
}
