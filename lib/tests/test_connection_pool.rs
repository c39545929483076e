//! Tests of checkout, reuse and expiry of pooled connections.

use std::time::Duration;
use std::time::Instant;

use carobshore_lib::connection_pool::FRESH_AGE;
use carobshore_lib::connection_pool::MAX_IDLE_TIME;
use carobshore_lib::prelude::*;
use carobshore_testutils::manual_clock::ManualClock;

const MS: Duration = Duration::from_millis(1);

/// Opens a connection and makes it idle.
fn idle(pool: &mut ConnectionPool, now: Instant) -> ConnId {
    let conn = open(pool, now);
    assert!(pool.answered(now, conn, true));
    conn
}

fn open(pool: &mut ConnectionPool, now: Instant) -> ConnId {
    let Checkout::Open { conn, .. } = pool.checkout(now, Freshness::Fresh) else {
        panic!("checkout did not open a new connection");
    };
    pool.opened(now, conn);
    conn
}

/// Guards against a run-once request on a connection that may be dead.
#[test]
fn run_once_requests_need_a_fresh_connection() {
    let clock = ManualClock::default();
    let mut pool = ConnectionPool::new(10);
    let conn = idle(&mut pool, clock.now());
    clock.advance(FRESH_AGE);
    assert_eq!(
        pool.checkout(clock.now(), Freshness::Fresh),
        Checkout::Reuse(conn)
    );
    assert!(pool.may_send(clock.now(), conn, Freshness::Fresh));
    clock.advance(MS);
    // The request was delayed after the checkout.
    assert!(!pool.may_send(clock.now(), conn, Freshness::Fresh));
    pool.release_unused(conn);
    let other = pool.checkout(clock.now(), Freshness::Fresh);
    assert!(
        matches!(other, Checkout::Open { close: None, .. }),
        "{other:?}"
    );
    assert_eq!(
        pool.checkout(clock.now(), Freshness::Any),
        Checkout::Reuse(conn)
    );
}

/// Guards against reuse while a response is outstanding: the next request would receive it.
#[test]
fn a_connection_with_an_outstanding_response_is_never_reused() {
    let clock = ManualClock::default();
    let mut pool = ConnectionPool::new(2);
    let first = open(&mut pool, clock.now());
    let second = open(&mut pool, clock.now());
    assert_eq!(
        pool.checkout(clock.now(), Freshness::Any),
        Checkout::AtLimit
    );
    pool.closed(first);
    let third = pool.checkout(clock.now(), Freshness::Any);
    assert!(
        matches!(third, Checkout::Open { close: None, .. }),
        "{third:?}"
    );
    assert!(
        !pool.answered(clock.now(), first, true),
        "a late response on a closed connection"
    );
    assert!(
        !pool.answered(clock.now(), second, false),
        "the target closes"
    );
    assert_eq!(pool.len(), 1);
}

/// Guards against reuse of the other connections of a network path that has failed.
#[test]
fn a_connection_that_timed_out_makes_older_ones_suspect() {
    let clock = ManualClock::default();
    let mut pool = ConnectionPool::new(10);
    let busy = open(&mut pool, clock.now());
    let old = open(&mut pool, clock.now());
    clock.advance(MS);
    let unanswered = open(&mut pool, clock.now());
    let same_age = open(&mut pool, clock.now());
    clock.advance(MS);
    let younger = idle(&mut pool, clock.now());
    assert!(pool.answered(clock.now(), old, true));
    assert_eq!(pool.timed_out(unanswered), [old]);
    assert!(!pool.may_send(clock.now(), same_age, Freshness::Any));
    assert!(
        !pool.answered(clock.now(), busy, true),
        "closed when it becomes idle"
    );
    assert!(!pool.answered(clock.now(), same_age, true));
    assert_eq!(
        pool.checkout(clock.now(), Freshness::Any),
        Checkout::Reuse(younger)
    );
    assert_eq!(pool.timed_out(unanswered), [], "reported twice");
}

/// Guards against idle connections that are never closed, and against exceeding the limit.
#[test]
fn idle_time_and_number_of_connections_are_bounded() {
    let clock = ManualClock::default();
    let mut pool = ConnectionPool::new(3);
    let first = idle(&mut pool, clock.now());
    clock.advance(FRESH_AGE + MS);
    let second = idle(&mut pool, clock.now());
    clock.advance(FRESH_AGE + MS);
    let third = open(&mut pool, clock.now());
    let made_room = pool.checkout(clock.now(), Freshness::Fresh);
    let Checkout::Open { conn, close } = made_room else {
        panic!("{made_room:?}");
    };
    assert_eq!(close, Some(first));
    assert_eq!(pool.len(), 3);
    pool.closed(conn);
    assert_eq!(pool.set_limit(1), [second]);
    assert!(pool.answered(clock.now(), third, true));
    clock.advance(MAX_IDLE_TIME);
    assert_eq!(pool.expire(clock.now()), [third]);
    assert!(pool.is_empty());
    let again = pool.checkout(clock.now(), Freshness::Any);
    assert!(
        matches!(again, Checkout::Open { .. }),
        "the limit is never below one"
    );
}

/// Random sequences of all operations, with fixed seeds: the limit holds, and no connection is
/// checked out twice.
#[test]
fn no_sequence_hands_out_a_connection_twice() {
    use rand::RngExt;
    use rand::SeedableRng;
    for seed in 0..200 {
        let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
        let clock = ManualClock::default();
        let mut pool = ConnectionPool::new(4);
        let mut held = std::collections::BTreeSet::new();
        for _ in 0..300 {
            clock.advance(MS * rng.random_range(0..400));
            let now = clock.now();
            let some = held.iter().copied().nth(rng.random_range(0..4));
            match (rng.random_range(0..8), some) {
                (0, Some(conn)) => {
                    held.remove(&conn);
                    pool.closed(conn);
                }
                (1, Some(conn)) => {
                    held.remove(&conn);
                    pool.timed_out(conn);
                }
                (2, Some(conn)) => {
                    held.remove(&conn);
                    pool.release_unused(conn);
                }
                (3 | 4, Some(conn)) => {
                    held.remove(&conn);
                    pool.answered(now, conn, rng.random_bool(0.9));
                }
                (5, _) => drop(pool.expire(now)),
                _ => match pool.checkout(now, Freshness::Fresh) {
                    Checkout::AtLimit => assert_eq!(held.len(), 4, "seed {seed}"),
                    Checkout::Reuse(conn) => assert!(held.insert(conn), "seed {seed}"),
                    Checkout::Open { conn, .. } => {
                        pool.opened(now, conn);
                        assert!(held.insert(conn), "seed {seed}");
                    }
                },
            }
            assert!(pool.len() <= 4 && pool.len() >= held.len(), "seed {seed}");
        }
    }
}
