//! The load is open-loop and repeats with its seed.

use std::time::Duration;
use std::time::Instant;

use carobshore_load::arrival::Arrival;
use carobshore_load::arrival::Kind;
use carobshore_load::mix::Mix;
use carobshore_load::pacer;
use carobshore_load::schedule;
use carobshore_load::schedule::ScheduleSpec;
use carobshore_load::tally::Latencies;

fn spec(seed: u64) -> ScheduleSpec {
    ScheduleSpec {
        seed,
        rate: 1000.0,
        length: Duration::from_secs(100),
        mix: "read=3,once=1".parse().unwrap(),
        entries: 4,
        services: 2,
    }
}

#[test]
fn arrivals_have_the_rate_the_mix_and_the_variance_of_a_poisson_process() {
    let arrivals = schedule::draw(&spec(7));
    let count = arrivals.len() as f64;
    assert!((count - 100_000.0).abs() < 1_500.0, "{count}");
    let once = arrivals
        .iter()
        .filter(|arrival| arrival.kind == Kind::Once)
        .count() as f64;
    assert!((once / count - 0.25).abs() < 0.01);
    let mut per_window = vec![0.0; 10_000];
    for arrival in &arrivals {
        per_window[(arrival.at.as_millis() / 10) as usize] += 1.0;
    }
    // Counts of a Poisson process have a variance equal to their mean of 10.
    let variance = per_window
        .iter()
        .map(|n: &f64| (n - 10.0).powi(2))
        .sum::<f64>()
        / 10_000.0;
    assert!((variance - 10.0).abs() < 1.0, "{variance}");
    assert!(arrivals.windows(2).all(|pair| pair[0].at <= pair[1].at));
}

#[test]
fn equal_seeds_give_equal_schedules() {
    assert_eq!(schedule::draw(&spec(7)), schedule::draw(&spec(7)));
    assert_ne!(schedule::draw(&spec(7)), schedule::draw(&spec(8)));
}

#[test]
fn a_mix_that_cannot_be_drawn_is_refused() {
    for text in ["", "read", "read=x", "read=0", "walk=1", "read=99999999"] {
        assert!(text.parse::<Mix>().is_err(), "{text}");
    }
}

/// Guards against a load that waits for its consumer and so hides slow responses.
#[test]
fn a_consumer_that_stalls_does_not_delay_the_schedule() {
    let at = |millis| Duration::from_millis(millis);
    let schedule: Vec<_> = (0..20)
        .map(|index| Arrival {
            index,
            at: at(index as u64),
            kind: Kind::Read,
            entry: 0,
            service: 0,
        })
        .collect();
    let start = Instant::now();
    let mut arrivals = pacer::start(start, schedule);
    std::thread::sleep(at(200));
    let mut due = 0;
    while let Ok(arrival) = arrivals.try_recv() {
        assert_eq!(arrival.index, due);
        due += 1;
    }
    assert_eq!(due, 20);
}

#[test]
fn quantiles_are_those_of_the_recorded_values() {
    let mut latencies = Latencies::default();
    for millis in 1..=1000 {
        latencies.record(Duration::from_millis(millis));
    }
    let near = |share: f64, millis: f64| {
        let seen = latencies.quantile(share).as_secs_f64() * 1e3;
        assert!((seen / millis - 1.0).abs() < 0.002, "{share}: {seen}");
    };
    near(0.5, 500.0);
    near(0.99, 990.0);
    near(0.999, 999.0);
}
