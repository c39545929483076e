//! Guards against VMs that together exceed a shared budget, and against VMs that read changes from
//! each other in a cycle.

use std::time::Duration;
use std::time::Instant;

use carobshore_lib::check_budget::CheckBudget;
use carobshore_lib::preferred_targets;
use carobshore_lib::preferred_targets::RankedTarget;
use carobshore_lib::prelude::DomainId;
use carobshore_lib::retry_allowance::RetryAllowance;
use carobshore_lib::retry_allowance::RetryLimits;
use carobshore_lib::vm_roster::VmRecord;
use carobshore_lib::vm_roster::VmRoster;
use proptest::prelude::ProptestConfig;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::proptest;

const WINDOW: Duration = Duration::from_secs(10);

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// The budget of all 16 VMs is 60 repeats plus 0.2 of the requests in any window, where the
    /// requests of the preceding window also count.
    #[test]
    fn repeats_of_all_vms_stay_within_the_shared_budget(
        arrivals in proptest::collection::vec((0_u64..40_000, 0_usize..16, any::<bool>()), 1..600),
    ) {
        let limits = RetryLimits { ratio: 0.2, window: WINDOW, floor: 3 };
        let mut vms: Vec<_> = (0..16).map(|_| RetryAllowance::new(limits)).collect();
        let start = Instant::now();
        let mut arrivals = arrivals;
        arrivals.sort_unstable();
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        for (millis, vm, fails) in arrivals {
            let now = start + Duration::from_millis(millis);
            vms[vm].request(now);
            requests.push(now);
            if fails && vms[vm].retry(now) {
                repeats.push(now);
            }
        }
        for from in &repeats {
            let inside = |at: &&Instant| **at >= *from && **at < *from + WINDOW;
            let before = |at: &&Instant| **at + WINDOW >= *from && **at < *from + WINDOW;
            let repeated = repeats.iter().filter(inside).count() as f64;
            let asked = requests.iter().filter(before).count() as f64;
            prop_assert!(repeated <= 0.2 * asked + 60.0, "{repeated} repeats for {asked} requests");
        }
    }
}

#[test]
fn health_checks_of_all_vms_stay_within_the_shared_budget() {
    let (targets, vms, per_target) = (38, 16, 60.0);
    let start = Instant::now();
    let share = CheckBudget::share(per_target, targets, vms);
    let mut budgets: Vec<_> = (0..vms).map(|_| CheckBudget::new(start, share)).collect();
    let seconds = 30;
    let mut sent = 0_u32;
    for millis in 0..seconds * 1_000 {
        let now = start + Duration::from_millis(millis);
        sent += budgets
            .iter_mut()
            .map(|budget| u32::from(budget.take(now)))
            .sum::<u32>();
    }
    let rate = f64::from(sent) / targets as f64 / seconds as f64;
    assert!(rate <= per_target, "{rate} checks per target and second");
    assert!(
        rate >= per_target / 2.0,
        "{rate} checks per target and second"
    );
}

fn vm(name: &str, domain: &str) -> VmRecord {
    VmRecord {
        name: name.into(),
        domain: domain.parse().expect("a domain"),
        feed: "127.0.0.1:7000".parse().expect("an address"),
    }
}

#[test]
fn no_two_vms_read_changes_from_each_other() {
    let names: Vec<String> = (0..30).map(|index| format!("edge-a-{index}")).collect();
    let domain: DomainId = "a".parse().expect("a domain");
    let all: Vec<_> = names.iter().map(|name| vm(name, "a")).collect();
    let mut without_source = 0;
    for name in &names {
        // Each VM knows a different subset of the others.
        let known = all
            .iter()
            .filter(|vm| (vm.name.len() + name.len()) % 3 != 1)
            .cloned();
        let roster = VmRoster::new(known.collect());
        let sources = roster.sources(name, &domain);
        for source in &sources {
            let back = VmRoster::new(all.clone());
            let back = back
                .sources(&source.name, &domain)
                .into_iter()
                .map(|vm| vm.name.clone());
            assert!(back.into_iter().all(|other| *other != **name));
        }
        without_source += u32::from(VmRoster::new(all.clone()).sources(name, &domain).is_empty());
    }
    assert_eq!(
        without_source, 1,
        "one VM of a failure domain reads the store"
    );
}

/// Each call of the store is billed, so in a small failure domain too only one VM reads for the
/// others.
#[test]
fn one_vm_of_a_small_failure_domain_reads_the_store() {
    let domain: DomainId = "a".parse().expect("a domain");
    for count in 1..8 {
        let names: Vec<String> = (0..count).map(|index| format!("v{index}")).collect();
        let roster = VmRoster::new(names.iter().map(|name| vm(name, "a")).collect());
        let reads = |name: &&String| roster.sources(name, &domain).is_empty();
        assert_eq!(names.iter().filter(reads).count(), 1, "of {count}");
    }
}

/// A VM without sources that cannot reach the store must be able to learn changes from its
/// followers.
#[test]
fn every_other_vm_of_the_failure_domain_is_a_source_or_a_follower() {
    let domain: DomainId = "a".parse().expect("a domain");
    let mut vms: Vec<_> = (0..9).map(|index| vm(&format!("v{index}"), "a")).collect();
    vms.push(vm("far", "b"));
    let roster = VmRoster::new(vms);
    for name in (0..9).map(|index| format!("v{index}")) {
        let sources = roster.sources(&name, &domain);
        let followers = roster.followers(&name, &domain);
        assert_eq!(sources.len() + followers.len(), 8);
        assert!(sources.iter().all(|vm| !followers.contains(vm)));
    }
}

#[test]
fn changes_come_only_from_the_own_failure_domain() {
    let roster = VmRoster::new((0..10).map(|index| vm(&format!("v{index}"), "b")).collect());
    assert!(
        roster
            .sources("me", &"a".parse().expect("a domain"))
            .is_empty()
    );
}

#[test]
fn preferred_targets_spread_over_all_targets() {
    let targets: Vec<String> = (0..200).map(|index| format!("i-{index}")).collect();
    let mut used = vec![0_u32; targets.len()];
    let vms = 116;
    for vm in 0..vms {
        let name = format!("edge-{vm}");
        let ranked: Vec<_> = targets
            .iter()
            .enumerate()
            .map(|(at, target)| RankedTarget {
                rank: preferred_targets::rank(&name, target),
                local: at % 4 == vm % 4,
            })
            .collect();
        let preferred = preferred_targets::preferred(&ranked, vms);
        assert_eq!(preferred.iter().filter(|preferred| **preferred).count(), 7);
        for (count, preferred) in used.iter_mut().zip(preferred) {
            *count += u32::from(preferred);
        }
    }
    let idle = used.iter().filter(|count| **count == 0).count();
    assert!(idle <= 10, "{idle} of 200 targets are preferred by no VM");
}

#[test]
fn a_domain_without_targets_prefers_those_of_others() {
    let ranked: Vec<_> = (0..5)
        .map(|rank| RankedTarget { rank, local: false })
        .collect();
    assert_eq!(preferred_targets::preferred(&ranked, 16), vec![true; 5]);
}
