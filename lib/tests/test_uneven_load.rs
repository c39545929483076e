//! Simulates failure domains with uneven load: the VMs of one get several times the requests of the
//! others, while all VMs share one budget of health checks per second. Guards against VMs that
//! choose targets with too few health checks while others leave their share unused, and against
//! more health checks than the targets' owners allow.

use std::time::Duration;
use std::time::Instant;

use carobshore_lib::check_budget::CheckBudget;

const TARGETS: usize = 378;
const VMS: usize = 116;
/// VMs of the failure domain with the most callers.
const BUSY_VMS: usize = 30;
/// Health checks per second that a target may get from all VMs together.
const PER_TARGET: f64 = 42.0;
/// How long a request occupies a target.
const HOLD_TIME: Duration = Duration::from_millis(440);
/// The slots of a target.
const SLOTS: f64 = 2.0;
/// Health checks that each request would send without a budget.
const WANTED: u32 = 12;
const SECONDS: u64 = 20;

/// The health checks that the VMs sent.
struct Sent {
    /// Per request of a busy VM, and of another VM.
    busy: f64,
    other: f64,
    /// Per target and second.
    rate: f64,
}

/// Simulates requests at a constant rate per second on each busy VM, and on each other one.
fn simulate(busy: u64, other: u64) -> Sent {
    let start = Instant::now();
    let requests = BUSY_VMS as u64 * busy + (VMS - BUSY_VMS) as u64 * other;
    let held = requests as f64 / TARGETS as f64 * HOLD_TIME.as_secs_f64();
    let share = CheckBudget::share(PER_TARGET, TARGETS, VMS);
    let full = (held / SLOTS).min(1.0);
    let per_request = CheckBudget::per_request(PER_TARGET, held, HOLD_TIME, full);
    let mut counts = [0_u32; 2];
    for vm in 0..VMS {
        let (rate, count) = match vm < BUSY_VMS {
            true => (busy, &mut counts[0]),
            false => (other, &mut counts[1]),
        };
        let mut budget = CheckBudget::new(start, share);
        for request in 0..rate * SECONDS {
            let now = start + Duration::from_secs(request) / rate as u32;
            budget.deposit(now, per_request);
            *count += (0..WANTED)
                .map(|_| u32::from(budget.take(now)))
                .sum::<u32>();
        }
    }
    let per =
        |count: u32, vms: usize, rate: u64| f64::from(count) / (vms as u64 * rate * SECONDS) as f64;
    Sent {
        busy: per(counts[0], BUSY_VMS, busy),
        other: per(counts[1], VMS - BUSY_VMS, other),
        rate: f64::from(counts[0] + counts[1]) / (TARGETS as u64 * SECONDS) as f64,
    }
}

/// With the budget divided equally, a busy VM had 5 health checks per request.
#[test]
fn vms_with_more_requests_may_send_more_health_checks() {
    let sent = simulate(18, 5);
    assert!(
        sent.busy >= 0.75 * sent.other,
        "{} and {}",
        sent.busy,
        sent.other
    );
    assert!(
        sent.rate <= PER_TARGET,
        "{} per target and second",
        sent.rate
    );
}

#[test]
fn the_budget_holds_at_any_number_of_requests() {
    for (busy, other) in [(5, 5), (40, 5), (60, 60), (200, 1)] {
        let sent = simulate(busy, other);
        assert!(
            sent.rate <= PER_TARGET,
            "{busy} and {other} requests: {} checks per target and second",
            sent.rate
        );
    }
}

/// In a burst beyond the targets' capacity, extra health checks opened connections to full targets,
/// which reset connections beyond their limit. On a site of 101 VMs, 11,500 more connections came
/// with 13 in 100 fewer uploads and 7 in 100 fewer completions in time.
#[test]
fn requests_earn_no_health_checks_when_all_targets_are_full() {
    let earned = |full| CheckBudget::per_request(PER_TARGET, full * SLOTS, HOLD_TIME, full);
    assert_eq!(earned(1.0), 0.0);
    assert_eq!(earned(1.7), 0.0);
    assert!(earned(0.9) < earned(0.7));
    assert_eq!(earned(0.05), 16.0);
}
