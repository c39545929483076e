//! Tests of the evidence that a target is leaving.

use carobshore_lib::leaving_targets::LIST_ONLY_TIMEOUT;
use carobshore_lib::leaving_targets::LIST_SETTLE_TIME;
use carobshore_lib::prelude::*;
use carobshore_testutils::manual_clock::ManualClock;

struct Fixture {
    clock: ManualClock,
    leaving: LeavingTargets,
    service: ServiceId,
    target: TargetId,
}

impl Fixture {
    fn new() -> Self {
        let mut fixture = Self {
            clock: ManualClock::default(),
            leaving: LeavingTargets::default(),
            service: "status".parse().unwrap(),
            target: "s1".parse().unwrap(),
        };
        fixture.configure(1, TargetState::Serving);
        fixture
    }

    fn configure(&mut self, generation: u64, state: TargetState) {
        let target = Target {
            addr: "127.0.0.1:8001".parse().unwrap(),
            domain: "north".parse().unwrap(),
            slots: Slots::try_from(2).unwrap(),
            generation,
            state,
        };
        let service = Service {
            version: Version(generation),
            targets: [(self.target.clone(), target)].into(),
            measuring: TargetTime(0),
            connections: 220,
        };
        let services = [(self.service.clone(), service.into())].into();
        self.leaving.config_changed(&Config {
            services,
            ..Config::default()
        });
    }

    fn signal(&self, generation: u64) -> LeavingTarget {
        LeavingTarget {
            service: self.service.clone(),
            target: self.target.clone(),
            generation,
        }
    }

    fn list(&mut self, leaving: bool) {
        let addr = "127.0.0.1:8001".parse().unwrap();
        let list = [ListedAddr { addr, leaving }];
        self.leaving.list_read(self.clock.now(), &list);
    }

    fn answered(&mut self) {
        let now = self.clock.now();
        self.leaving.answered(now, &self.service, &self.target);
    }

    fn is_leaving(&self) -> bool {
        self.leaving.is_leaving(&self.service, &self.target)
    }
}

/// Guards against new work for a target that any single source reports as leaving.
#[test]
fn each_source_alone_is_enough_until_a_newer_generation() {
    let sources: [fn(&mut Fixture); 3] = [
        |fixture| fixture.configure(1, TargetState::Leaving),
        |fixture| assert!(fixture.leaving.drain_signalled(&fixture.signal(1))),
        |fixture| fixture.list(true),
    ];
    for (n, report) in sources.into_iter().enumerate() {
        let mut fixture = Fixture::new();
        assert!(!fixture.is_leaving());
        report(&mut fixture);
        assert!(fixture.is_leaving(), "source {n}");
        // An unrelated change of the service and responses to requests in flight change nothing.
        fixture.configure(1, TargetState::Serving);
        fixture.answered();
        assert!(fixture.is_leaving(), "source {n}");
        fixture.configure(2, TargetState::Serving);
        assert!(!fixture.is_leaving(), "source {n}");
    }
}

/// Guards against a late response or a peer with old data that drains the next generation of the
/// target, and against losing the signal of a peer that read the configuration earlier.
#[test]
fn signals_apply_to_their_generation() {
    let mut fixture = Fixture::new();
    fixture.configure(2, TargetState::Serving);
    assert!(!fixture.leaving.drain_signalled(&fixture.signal(1)));
    assert!(!fixture.is_leaving());
    assert!(fixture.leaving.drain_signalled(&fixture.signal(3)));
    assert!(
        !fixture.leaving.drain_signalled(&fixture.signal(3)),
        "no new information"
    );
    fixture.configure(3, TargetState::Serving);
    assert!(fixture.is_leaving());
    assert_eq!(fixture.leaving.signalled().count(), 1);
}

/// Guards against a stale copy of the list that undoes a correct entry.
#[test]
fn a_reverted_list_needs_an_answer_of_the_target() {
    let mut fixture = Fixture::new();
    fixture.list(true);
    fixture.list(false);
    fixture.answered();
    assert!(
        fixture.is_leaving(),
        "the answer may be older than the entry"
    );
    fixture.clock.advance(LIST_SETTLE_TIME);
    assert!(fixture.is_leaving());
    assert!(
        fixture
            .leaving
            .needs_probe(fixture.clock.now(), &fixture.service, &fixture.target)
    );
    fixture.answered();
    assert!(!fixture.is_leaving());
    fixture.list(true);
    assert!(fixture.is_leaving(), "a new entry is new evidence");
}

/// Guards against a wrong list that makes a serving target unreachable for ever, and against
/// passing its error on to peers.
#[test]
fn a_wrong_list_is_overruled_by_the_target() {
    let mut fixture = Fixture::new();
    fixture.list(true);
    assert_eq!(fixture.leaving.signalled().count(), 0);
    assert_eq!(fixture.leaving.targets().count(), 1);
    fixture.clock.advance(LIST_ONLY_TIMEOUT);
    fixture.list(true);
    assert!(fixture.is_leaving());
    fixture.answered();
    assert!(!fixture.is_leaving());
    fixture.list(true);
    assert!(!fixture.is_leaving(), "the same entry is not new evidence");
    assert!(fixture.leaving.drain_signalled(&fixture.signal(1)));
    fixture.clock.advance(LIST_ONLY_TIMEOUT);
    fixture.answered();
    assert!(
        fixture.is_leaving(),
        "the target's own signal is never overruled"
    );
}

/// Guards against memory that grows with removed targets.
#[test]
fn removed_targets_are_dropped() {
    let mut fixture = Fixture::new();
    fixture.leaving.drain_signalled(&fixture.signal(1));
    fixture.leaving.config_changed(&Config::default());
    assert_eq!(fixture.leaving.targets().count(), 0);
    assert!(!fixture.is_leaving());
}

/// Guards against a VM that starts, reads the list before the configuration, and sends work to a
/// leaving target, and against an outdated list that keeps work from a target that was configured
/// again.
#[test]
fn the_list_applies_to_the_generation_configured_when_it_changed() {
    let mut fixture = Fixture::new();
    fixture.leaving = LeavingTargets::default();
    fixture.list(true);
    fixture.configure(1, TargetState::Serving);
    assert!(fixture.is_leaving());
    fixture.configure(2, TargetState::Serving);
    assert!(!fixture.is_leaving());
    fixture.list(true);
    assert!(!fixture.is_leaving(), "the list has not changed since");
    fixture.list(false);
    fixture.list(true);
    assert!(fixture.is_leaving(), "a new entry is new evidence");
}
