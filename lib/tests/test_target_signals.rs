//! Guards against requests to a target that has said that it is leaving or wants a pause, and against
//! a target that gets no requests although its word concerned an earlier start of it.

use std::time::Duration;
use std::time::Instant;

use carobshore_lib::prelude::TargetId;
use carobshore_lib::requested_pause::RequestedPause;
use carobshore_lib::target_signals::TargetSignals;
use carobshore_lib::target_signals::Unavailable;
use proptest::prelude::*;

fn id() -> TargetId {
    "t".parse().expect("a target id")
}

fn pause(seconds: f64) -> RequestedPause {
    RequestedPause::try_from(seconds).expect("a pause")
}

#[test]
fn a_target_that_is_leaving_gets_nothing_however_much_time_passes() {
    let now = Instant::now();
    let mut signals = TargetSignals::default();
    assert!(signals.leaving(now, &id(), 5));
    assert!(!signals.leaving(now, &id(), 5), "it is known");
    let later = now + Duration::from_secs(100_000);
    let reason = signals.unavailable(later, &id(), 5);
    assert_eq!(reason, Some(Unavailable::Leaving));
}

#[test]
fn a_new_start_ends_what_an_earlier_one_has_said() {
    let now = Instant::now();
    let mut signals = TargetSignals::default();
    signals.leaving(now, &id(), 5);
    signals.paused(now, &id(), 5, pause(60.0), 0.0);
    assert_eq!(signals.unavailable(now, &id(), 6), None);
    assert!(!signals.leaving(now, &id(), 4), "a late answer");
    assert_eq!(
        signals.unavailable(now, &id(), 5),
        Some(Unavailable::Leaving),
        "if the announcement of the new start is withdrawn"
    );
}

/// Guards against requests to a target that is leaving, because another writer has announced a later
/// start of it in between.
#[test]
fn the_announced_start_counts_also_after_one_with_a_larger_number() {
    let now = Instant::now();
    let mut signals = TargetSignals::default();
    signals.leaving(now, &id(), u64::MAX);
    signals.announced(&id(), 5);
    assert!(signals.leaving(now, &id(), 5));
    signals.announced(&id(), 5);
    assert_eq!(
        signals.unavailable(now, &id(), 5),
        Some(Unavailable::Leaving)
    );
}

#[test]
fn a_late_answer_of_an_earlier_start_does_not_concern_the_new_one() {
    let now = Instant::now();
    let mut signals = TargetSignals::default();
    signals.leaving(now, &id(), 6);
    signals.paused(now, &id(), 5, pause(60.0), 0.0);
    assert_eq!(
        signals.unavailable(now, &id(), 6),
        Some(Unavailable::Leaving)
    );
    let mut signals = TargetSignals::default();
    signals.leaving(now, &id(), 4);
    assert_eq!(signals.unavailable(now, &id(), 6), None);
}

#[test]
fn vms_return_after_the_pause_one_after_the_other() {
    let now = Instant::now();
    for (position, millis) in [(0.0, 1_000), (0.5, 1_250), (1.0, 1_500)] {
        let mut signals = TargetSignals::default();
        assert!(signals.paused(now, &id(), 1, pause(1.0), position));
        let at = |millis| now + Duration::from_millis(millis);
        let reason = signals.unavailable(at(millis - 1), &id(), 1);
        assert_eq!(reason, Some(Unavailable::Paused(Duration::from_millis(1))));
        assert_eq!(signals.unavailable(at(millis), &id(), 1), None);
    }
}

#[test]
fn a_shorter_pause_does_not_end_a_longer_one() {
    let now = Instant::now();
    let mut signals = TargetSignals::default();
    assert!(signals.paused(now, &id(), 1, pause(10.0), 0.0));
    assert!(!signals.paused(now, &id(), 1, pause(0.5), 0.0));
    let reason = signals.unavailable(now + Duration::from_secs(9), &id(), 1);
    assert_eq!(reason, Some(Unavailable::Paused(Duration::from_secs(1))));
}

#[test]
fn absurd_pauses_are_refused() {
    for text in [
        "", "x", "-1", "NaN", "inf", "1e300", "3600.1", "0x10", "1 s",
    ] {
        assert!(text.parse::<RequestedPause>().is_err(), "{text}");
    }
    for (text, millis) in [("0", 0), ("0.25", 250), (" 3 ", 3_000), ("3600", 3_600_000)] {
        let pause: RequestedPause = text.parse().expect("a pause");
        assert_eq!(pause.duration(), Duration::from_millis(millis), "{text}");
    }
}

#[test]
fn the_signals_of_many_targets_that_came_and_went_take_bounded_memory() {
    let now = Instant::now();
    let mut signals = TargetSignals::default();
    let last = 5_000_u64;
    for generation in 1..=last {
        let target: TargetId = format!("t-{generation}").parse().expect("a target id");
        signals.leaving(now, &target, generation);
    }
    let text = format!("{signals:?}");
    assert!(text.matches("received").count() <= 4_096);
    let target = format!("t-{last}").parse().expect("a target id");
    assert!(signals.unavailable(now, &target, last).is_some());
}

/// What happens to a target and to what a VM knows of it.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// The target starts again.
    Start,
    /// It begins to leave.
    Leave,
    /// The VM reads the announcement of the current start.
    Announce,
    /// The announcement is withdrawn or expires, as it does in an outage of the store.
    Withdraw,
    /// A request is answered by the start to which its connection belongs.
    Answer,
    /// An answer of the start before the current one arrives late.
    LateAnswer,
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        Just(Event::Start),
        Just(Event::Leave),
        Just(Event::Announce),
        Just(Event::Withdraw),
        Just(Event::Answer),
        Just(Event::LateAnswer),
    ];
    prop::collection::vec(event, 0..60)
}

proptest! {
    /// No request goes to a start of a target after an answer that said that this start is leaving,
    /// and each start that has not said so gets requests, as soon as it is announced.
    #[test]
    fn only_a_start_that_has_not_said_that_it_is_leaving_gets_requests(events in events()) {
        let now = Instant::now();
        let mut signals = TargetSignals::default();
        // For each start, whether it is leaving, and whether the VM has passed on an answer that
        // says so.
        let mut starts = vec![(false, false)];
        let mut announced: Option<usize> = None;
        let mut last_announced = 0_usize;
        for event in events {
            let current = starts.len() - 1;
            let answering = match event {
                Event::Answer => announced,
                Event::LateAnswer => Some(last_announced.saturating_sub(1)),
                _ => None,
            };
            match event {
                Event::Start => starts.push((false, false)),
                Event::Leave => starts[current].0 = true,
                Event::Announce => {
                    announced = Some(current);
                    last_announced = current;
                }
                Event::Withdraw => announced = None,
                Event::Answer | Event::LateAnswer => {}
            }
            if let Some(start) = answering.filter(|start| starts[*start].0) {
                starts[start].1 = true;
                signals.leaving(now, &id(), start as u64);
            }
            if let Some(start) = announced {
                let may_send = signals.unavailable(now, &id(), start as u64).is_none();
                prop_assert_eq!(may_send, !starts[start].1, "start {}", start);
            }
        }
    }
}
