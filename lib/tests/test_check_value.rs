//! Guards against health checks that cannot change the choice of a target, and against a choice without
//! the checks that would improve it.

use std::time::Duration;
use std::time::Instant;

use carobshore_lib::check_value::check_plan::CheckPlan;
use carobshore_lib::check_value::prospect::Prospect;
use carobshore_lib::check_value::report_spread::ReportSpread;

const WORK: Duration = Duration::from_millis(430);

fn prospects(means: &[f64], spread: f64) -> Vec<Prospect> {
    let prospects = means.iter().map(|mean| Prospect {
        mean: *mean,
        spread,
    });
    prospects.collect()
}

#[test]
fn targets_are_asked_while_they_may_beat_the_best_known_one() {
    let plan = CheckPlan::new(false);
    let alike = prospects(&[430.0; 8], 150.0);
    assert!(plan.count(None, &alike) >= 3);
    assert!(plan.count(Some(600.0), &alike) >= 2);
    assert_eq!(plan.count(Some(50.0), &alike), 0);
    assert_eq!(plan.count(Some(430.0), &prospects(&[700.0; 8], 50.0)), 0);
}

#[test]
fn recent_reports_that_agree_need_no_checks() {
    let plan = CheckPlan::new(false);
    assert_eq!(
        plan.count(Some(430.0), &prospects(&[430.0, 432.0, 435.0], 3.0)),
        0
    );
    let few = plan.count(None, &prospects(&[430.0; 8], 8.0));
    let many = plan.count(None, &prospects(&[430.0; 8], 200.0));
    assert!(few < many, "{few}, {many}");
}

#[test]
fn fewer_targets_are_asked_while_checks_are_scarce() {
    let next = prospects(&[430.0; 16], 60.0);
    let (plenty, scarce) = (CheckPlan::new(false), CheckPlan::new(true));
    assert!(scarce.count(None, &next) < plenty.count(None, &next));
}

/// A target that is not asked may be full.
#[test]
fn one_target_is_asked_unless_another_one_is_known_to_be_free() {
    assert_eq!(
        CheckPlan::new(true).count(None, &prospects(&[430.0; 8], 0.0)),
        1
    );
    let lone = prospects(&[430.0], 100.0);
    assert_eq!(CheckPlan::new(false).count(None, &lone), 1);
    assert_eq!(CheckPlan::new(false).count(Some(100.0), &lone), 0);
    assert_eq!(CheckPlan::new(false).count(None, &[]), 0);
}

#[test]
fn the_spread_is_measured_and_grows_with_the_age_of_a_report() {
    let now = Instant::now();
    let mut spread = ReportSpread::default();
    let old = now - Duration::from_secs(60);
    let at_first = spread.get(now, WORK, Some(old));
    for _ in 0..200 {
        spread.observe(WORK, WORK, WORK + WORK / 10);
    }
    let learned = spread.get(now, WORK, Some(old));
    assert_eq!(spread.get(now, WORK, None), at_first);
    assert!(
        learned < at_first && (learned - 43.0).abs() < 1.0,
        "{learned}"
    );
    assert_eq!(spread.get(now, WORK, Some(now)), 0.0);
    let older = spread.get(now + Duration::from_millis(150), WORK, Some(now));
    assert!((older - learned / 2.0).abs() < 0.1, "{older}");
}
