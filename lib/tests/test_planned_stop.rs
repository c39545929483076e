//! Tests of the sequence of a planned stop.

use std::time::Duration;

use carobshore_lib::planned_stop::DRAIN_NOTICE;
use carobshore_lib::planned_stop::LEAVE_APPEND_TIMEOUT;
use carobshore_lib::planned_stop::LEAVE_NOTICE;
use carobshore_lib::prelude::*;
use carobshore_testutils::manual_clock::ManualClock;

struct Fixture {
    clock: ManualClock,
    stop: PlannedStop,
}

impl Fixture {
    fn signalled() -> Self {
        let mut fixture = Self {
            clock: ManualClock::default(),
            stop: PlannedStop::default(),
        };
        assert_eq!(fixture.handle(StopEvent::Tick), []);
        assert_eq!(fixture.handle(StopEvent::Signal), [StopAction::Announce]);
        fixture
    }

    fn handle(&mut self, event: StopEvent) -> Vec<StopAction> {
        let mut out = Vec::new();
        self.stop.handle(self.clock.now(), event, &mut out);
        out
    }

    fn in_flight(&mut self, keyed: usize, other: usize) -> Vec<StopAction> {
        self.handle(StopEvent::InFlight { keyed, other })
    }

    fn tick_after(&mut self, time: Duration) -> Vec<StopAction> {
        self.clock.advance(time);
        self.handle(StopEvent::Tick)
    }
}

/// Guards against a `leave` before the last keyed request ended, and against an exit that aborts a
/// request, however long it takes.
#[test]
fn the_sequence_waits_for_every_request() {
    let mut fixture = Fixture::signalled();
    assert!(fixture.stop.is_stopping() && fixture.stop.is_accepting());
    assert_eq!(
        fixture.tick_after(Duration::ZERO),
        [],
        "no numbers were reported yet"
    );
    assert_eq!(fixture.in_flight(1, 2), []);
    assert_eq!(
        fixture.tick_after(DRAIN_NOTICE),
        [StopAction::StopAccepting]
    );
    assert!(!fixture.stop.is_accepting());
    assert_eq!(fixture.tick_after(Duration::from_secs(3_600)), []);
    assert_eq!(fixture.in_flight(0, 1), [StopAction::AppendLeave]);
    assert_eq!(fixture.handle(StopEvent::LeaveAppended), []);
    assert_eq!(fixture.tick_after(Duration::from_secs(3_600)), []);
    assert_eq!(fixture.in_flight(0, 0), [StopAction::Exit]);
    assert_eq!(
        fixture.handle(StopEvent::Signal),
        [],
        "nothing follows the exit"
    );
}

/// Guards against an exit before the platform's load balancer has noticed that readiness fails.
#[test]
fn an_idle_vm_still_accepts_requests_for_the_notice_time() {
    let mut fixture = Fixture::signalled();
    assert_eq!(fixture.in_flight(0, 0), [StopAction::AppendLeave]);
    assert_eq!(fixture.handle(StopEvent::LeaveAppended), []);
    assert_eq!(
        fixture.tick_after(DRAIN_NOTICE - Duration::from_millis(1)),
        []
    );
    let end = [StopAction::StopAccepting, StopAction::Exit];
    assert_eq!(fixture.tick_after(Duration::from_millis(1)), end);
}

/// Guards against a VM that never stops because the log is unavailable, and against one that
/// requests the `leave` twice.
#[test]
fn a_log_outage_delays_the_exit_by_a_bounded_time() {
    let mut fixture = Fixture::signalled();
    assert_eq!(fixture.in_flight(0, 0), [StopAction::AppendLeave]);
    assert_eq!(
        fixture.tick_after(DRAIN_NOTICE),
        [StopAction::StopAccepting]
    );
    assert_eq!(
        fixture.tick_after(LEAVE_APPEND_TIMEOUT - Duration::from_millis(1)),
        []
    );
    assert_eq!(
        fixture.tick_after(Duration::from_millis(1)),
        [StopAction::Exit]
    );
}

/// Guards against a request that a peer forwards at the moment of the exit.
#[test]
fn peers_get_time_to_read_the_leave() {
    let mut fixture = Fixture::signalled();
    assert_eq!(
        fixture.tick_after(DRAIN_NOTICE),
        [StopAction::StopAccepting]
    );
    assert_eq!(fixture.in_flight(0, 0), [StopAction::AppendLeave]);
    assert_eq!(fixture.handle(StopEvent::LeaveAppended), []);
    assert_eq!(
        fixture.tick_after(LEAVE_NOTICE - Duration::from_millis(1)),
        []
    );
    assert_eq!(
        fixture.tick_after(Duration::from_millis(1)),
        [StopAction::Exit]
    );
}

/// With a second signal, the operator aborts the remaining requests.
#[test]
fn a_second_signal_aborts_requests_in_flight() {
    let mut fixture = Fixture::signalled();
    fixture.in_flight(1, 1);
    let end = [
        StopAction::StopAccepting,
        StopAction::CutOff,
        StopAction::Exit,
    ];
    assert_eq!(fixture.handle(StopEvent::Signal), end);
}

/// Guards against requests that are still unanswered when the platform kills the process.
#[test]
fn a_stop_with_a_grace_period_ends_within_it() {
    let grace = Duration::from_secs(6);
    let clock = ManualClock::default();
    let signalled = clock.now();
    let stop = PlannedStop::new(DRAIN_NOTICE, Some(grace));
    let later = signalled + grace * 2;
    assert_eq!(stop.limit(later), later);
    let mut fixture = Fixture { clock, stop };
    assert_eq!(fixture.handle(StopEvent::Signal), [StopAction::Announce]);
    assert_eq!(fixture.in_flight(1, 1), []);
    let deadline = fixture.stop.limit(later);
    assert!(deadline > signalled + grace / 2 && deadline < signalled + grace);
    assert_eq!(fixture.stop.limit(signalled), signalled);
    assert_eq!(fixture.tick_after(grace / 2), [StopAction::StopAccepting]);
    let rest = deadline.saturating_duration_since(fixture.clock.now());
    assert_eq!(fixture.tick_after(rest), []);
    let mut ended = Vec::new();
    while ended.is_empty() && fixture.clock.now() < signalled + grace {
        ended = fixture.tick_after(Duration::from_millis(10));
    }
    assert_eq!(ended, [StopAction::CutOff, StopAction::Exit]);
    assert!(fixture.clock.now() < signalled + grace);
}
