//! Tests of the signs that a target leaves.

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
        self.leaving.configured(&Config {
            services,
            ..Config::default()
        });
    }

    fn sign(&self, generation: u64) -> LeavingTarget {
        LeavingTarget {
            service: self.service.clone(),
            target: self.target.clone(),
            generation,
        }
    }

    fn list(&mut self, leaving: bool) {
        let addr = "127.0.0.1:8001".parse().unwrap();
        let list = [ListedAddr { addr, leaving }];
        self.leaving.listed(self.clock.now(), &list);
    }

    fn answered(&mut self) {
        let now = self.clock.now();
        self.leaving.answered(now, &self.service, &self.target);
    }

    fn leaves(&self) -> bool {
        self.leaving.is_leaving(&self.service, &self.target)
    }
}

/// Guards against new work for a target after any one of the signs.
#[test]
fn each_sign_alone_is_enough_until_a_newer_generation() {
    let signs: [fn(&mut Fixture); 3] = [
        |fixture| fixture.configure(1, TargetState::Leaving),
        |fixture| assert!(fixture.leaving.drain_signalled(&fixture.sign(1))),
        |fixture| fixture.list(true),
    ];
    for (n, give) in signs.into_iter().enumerate() {
        let mut fixture = Fixture::new();
        assert!(!fixture.leaves());
        give(&mut fixture);
        assert!(fixture.leaves(), "sign {n}");
        // An unrelated change of the service and answers of requests in flight change nothing.
        fixture.configure(1, TargetState::Serving);
        fixture.answered();
        assert!(fixture.leaves(), "sign {n}");
        fixture.configure(2, TargetState::Serving);
        assert!(!fixture.leaves(), "sign {n}");
    }
}

/// Guards against a late response or an old peer that drains the target's next generation, and
/// against losing the sign of a peer that has read the configuration earlier.
#[test]
fn signs_count_for_their_generation() {
    let mut fixture = Fixture::new();
    fixture.configure(2, TargetState::Serving);
    assert!(!fixture.leaving.drain_signalled(&fixture.sign(1)));
    assert!(!fixture.leaves());
    assert!(fixture.leaving.drain_signalled(&fixture.sign(3)));
    assert!(
        !fixture.leaving.drain_signalled(&fixture.sign(3)),
        "no news"
    );
    fixture.configure(3, TargetState::Serving);
    assert!(fixture.leaves());
    assert_eq!(fixture.leaving.signalled().count(), 1);
}

/// Guards against an older copy of the list that undoes a true entry.
#[test]
fn a_list_that_goes_back_needs_the_target_to_agree() {
    let mut fixture = Fixture::new();
    fixture.list(true);
    fixture.list(false);
    fixture.answered();
    assert!(fixture.leaves(), "the answer may be older than the entry");
    fixture.clock.advance(LIST_SETTLE_TIME);
    assert!(fixture.leaves());
    assert!(
        fixture
            .leaving
            .needs_probe(fixture.clock.now(), &fixture.service, &fixture.target)
    );
    fixture.answered();
    assert!(!fixture.leaves());
    fixture.list(true);
    assert!(fixture.leaves(), "a new entry is a new sign");
}

/// Guards against a wrong list that makes a serving target unreachable for ever, and against its
/// error being passed on to peers.
#[test]
fn a_wrong_list_is_overruled_by_the_target() {
    let mut fixture = Fixture::new();
    fixture.list(true);
    assert_eq!(fixture.leaving.signalled().count(), 0);
    assert_eq!(fixture.leaving.targets().count(), 1);
    fixture.clock.advance(LIST_ONLY_TIMEOUT);
    fixture.list(true);
    assert!(fixture.leaves());
    fixture.answered();
    assert!(!fixture.leaves());
    fixture.list(true);
    assert!(!fixture.leaves(), "the same entry is no new sign");
    assert!(fixture.leaving.drain_signalled(&fixture.sign(1)));
    fixture.clock.advance(LIST_ONLY_TIMEOUT);
    fixture.answered();
    assert!(
        fixture.leaves(),
        "the target's own signal is never overruled"
    );
}

/// Guards against memory that grows with removed targets.
#[test]
fn removed_targets_are_forgotten() {
    let mut fixture = Fixture::new();
    fixture.leaving.drain_signalled(&fixture.sign(1));
    fixture.leaving.configured(&Config::default());
    assert_eq!(fixture.leaving.targets().count(), 0);
    assert!(!fixture.leaves());
}

/// Guards against a VM that starts, reads the list before the configuration, and sends work to a
/// leaving target, and against a lagging list that holds back a target that was taken back.
#[test]
fn the_list_counts_for_what_was_configured_when_it_changed() {
    let mut fixture = Fixture::new();
    fixture.leaving = LeavingTargets::default();
    fixture.list(true);
    fixture.configure(1, TargetState::Serving);
    assert!(fixture.leaves());
    fixture.configure(2, TargetState::Serving);
    assert!(!fixture.leaves());
    fixture.list(true);
    assert!(!fixture.leaves(), "the list has not changed since");
    fixture.list(false);
    fixture.list(true);
    assert!(fixture.leaves(), "a new entry is a new sign");
}
