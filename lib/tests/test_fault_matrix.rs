//! The fault matrix: injects every fault at every step, and checks what callers, targets and the
//! log observed.

use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use carobshore_testutils::sim_check::count;
use carobshore_testutils::sim_check::violations;
use carobshore_testutils::sim_fault::Cell;
use carobshore_testutils::sim_fault::Fault;
use carobshore_testutils::sim_fault::Step;
use carobshore_testutils::sim_fault::Variant;
use carobshore_testutils::sim_world::World;
use carobshore_testutils::sim_world::WrongRule;

const SECOND: Duration = Duration::from_secs(1);

/// The number of threads that run the cells.
const THREADS: usize = 4;

/// Schedules the operations that reach the given step.
fn script(world: &mut World, step: Step) {
    let start = World::warmup_end() + SECOND * 3;
    world.after(start, move |world| match step {
        Step::Intent | Step::Confirm | Step::ConfigRead | Step::TakenBack => {
            world.drain_by_intent(0);
        }
        Step::Join | Step::Joined | Step::Silent | Step::Displace => {
            world.end_vm(2);
            world.after(SECOND * 2, |world| world.start_vm("vm-9", 2));
        }
        Step::Displaced => {
            // Running, but without heartbeats for long enough to be displaced.
            world.pause(1, SECOND * 19);
        }
        Step::Signal | Step::Announce | Step::Leave | Step::Left | Step::Closed | Step::Exit => {
            // A slow target keeps requests in flight at every step of the stop.
            world.inject(Fault::Straggler, 1, 0);
            world.after(SECOND * 2, |world| world.stop_vm(1));
            world.after(SECOND * 3, |world| world.start_vm("vm-9", 1));
        }
        _ => {}
    });
}

fn run_cell(seed: u64, cell: Option<Cell>, wrong: Option<WrongRule>, traced: bool) -> World {
    let mut world = World::new(seed, wrong);
    world.trace = traced.then(Vec::new);
    let warm = World::warmup_end();
    script(&mut world, cell.map_or(Step::Deliver, |cell| cell.step));
    world.cell = cell;
    world.schedule_calls(warm, Duration::from_millis(150), 230, false);
    world.run_until(warm + SECOND * 60);
    world
}

fn cells() -> Vec<Cell> {
    let mut cells = Vec::new();
    for &fault in Fault::ALL {
        for &step in Step::ALL {
            for variant in [Variant::Once, Variant::Twice, Variant::WithOutage] {
                let armed = World::warmup_end() + SECOND * 2;
                cells.push(Cell {
                    fault,
                    step,
                    variant,
                    armed,
                });
            }
        }
    }
    cells
}

type Failure = (u64, Cell, Vec<String>);

/// Runs the cells and returns the failures.
fn run_matrix(seed: u64, wrong: Option<WrongRule>, cells: &[Cell]) -> Vec<Failure> {
    let next = AtomicUsize::new(0);
    let failures = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let n = next.fetch_add(1, Ordering::Relaxed);
                    let Some(cell) = cells.get(n) else {
                        return;
                    };
                    let seed = seed + n as u64;
                    let world = run_cell(seed, Some(*cell), wrong, false);
                    let mut found = violations(&world);
                    if world.cell.is_some() {
                        found.push("the step was not reached".to_owned());
                    }
                    if !found.is_empty() {
                        failures.lock().unwrap().push((seed, *cell, found));
                    }
                }
            });
        }
    });
    failures.into_inner().unwrap()
}

/// Prints the violations of a failed cell and the trace of its run.
fn report(seed: u64, cell: Cell, found: &[String]) {
    println!("seed {seed} {cell:?}");
    for violation in found {
        println!("  {violation}");
    }
    let world = run_cell(seed, Some(cell), None, true);
    for line in world.trace.unwrap() {
        println!("    {line}");
    }
}

/// Guards against faults that break an invariant at some step.
#[test]
fn no_fault_at_any_step_breaks_an_invariant() {
    let seed = std::env::var("MATRIX_SEED").map_or(1, |text| text.parse().unwrap());
    let start = std::time::Instant::now();
    let cells = cells();
    let failures = run_matrix(seed, None, &cells);
    println!(
        "{} cells from seed {seed} in {:?}",
        cells.len(),
        start.elapsed()
    );
    if let Some((seed, cell, found)) = failures.first() {
        report(*seed, *cell, found);
    }
    let failed: Vec<_> = failures
        .iter()
        .map(|(seed, cell, found)| (seed, cell, &found[0]))
        .collect();
    assert!(
        failed.is_empty(),
        "{} cells failed: {failed:#?}",
        failed.len()
    );
}

/// Guards against a simulation in which no request succeeds even without faults.
#[test]
fn without_faults_requests_succeed() {
    let world = run_cell(1, None, None, false);
    assert_eq!(violations(&world), Vec::<String>::new());
    let counts = count(&world);
    println!("{counts:?} {} executions", world.records.executions.len());
    assert!(counts.whole >= 190, "{counts:?}");
}

/// Guards against a matrix that detects nothing: each wrong rule must break the invariant that it
/// violates.
#[test]
fn wrong_rules_are_detected() {
    let wrong = [
        ("4", Fault::TargetCrash, WrongRule::ResendBroken),
        ("4", Fault::VmIsolated, WrongRule::NoTakeoverWait),
        ("4", Fault::VmIsolated, WrongRule::NoLease),
        ("4", Fault::VmIsolated, WrongRule::NoHistory),
        ("2", Fault::LateResponse, WrongRule::ReuseTimedOut),
        ("2", Fault::CutResponse, WrongRule::RelayTruncated),
        ("3", Fault::TargetCrash, WrongRule::ClaimNotRun),
        ("5", Fault::Drain, WrongRule::IgnoreLeaving),
        ("6", Fault::Straggler, WrongRule::ExitAtOnce),
        ("7", Fault::Straggler, WrongRule::ServeOld),
        ("8", Fault::Straggler, WrongRule::NoFreshness),
    ];
    for (invariant, fault, rule) in wrong {
        let cells: Vec<_> = cells()
            .into_iter()
            .filter(|cell| cell.fault == fault)
            .collect();
        let failures = run_matrix(1, Some(rule), &cells);
        let found = |(_, _, found): &&Failure| found.iter().any(|text| text.starts_with(invariant));
        let detected = failures.iter().filter(found).count();
        println!(
            "{detected} of {} cells break invariant {invariant} with {rule:?}",
            cells.len()
        );
        assert!(detected > 0, "not detected: {rule:?}");
    }
}

/// Many run-once requests with duplicates on other VMs, under all faults at random.
///
/// `RUN_ONCE_CALLS=100000 cargo test -p carobshore-lib --test test_fault_matrix run_once -- \
/// --nocapture` is the full count.
#[test]
fn run_once_requests_run_once() {
    let calls = std::env::var("RUN_ONCE_CALLS").map_or(20_000, |text| text.parse().unwrap());
    let seed: u64 = std::env::var("MATRIX_SEED").map_or(1, |text| text.parse().unwrap());
    let start = std::time::Instant::now();
    let every = Duration::from_millis(25);
    let share = calls / THREADS as u32;
    let worlds = (0..THREADS as u64).map(|n| {
        std::thread::spawn(move || {
            let mut world = World::new(seed * 1_000 + n, None);
            let end = World::warmup_end() + every * share;
            world.schedule_calls(World::warmup_end(), every, share, true);
            world.inject_random_faults(end);
            world.run_until(end + SECOND * 60);
            let counts = count(&world);
            let mut found = violations(&world);
            found.retain(|text| text.starts_with(['2', '3', '4']));
            (n, counts, world.records.executions.len(), found)
        })
    });
    let mut whole = 0;
    for thread in worlds.collect::<Vec<_>>() {
        let (n, counts, executions, found) = thread.join().unwrap();
        println!(
            "seed {}: {counts:?}, {executions} executions",
            seed * 1_000 + n
        );
        assert_eq!(found, Vec::<String>::new(), "seed {}", seed * 1_000 + n);
        assert_eq!((counts.repeats, counts.false_not_run), (0, 0));
        whole += counts.whole;
    }
    println!(
        "{calls} run-once requests in {:?}, {whole} answered whole",
        start.elapsed()
    );
    assert!(
        whole * 2 > calls as usize,
        "at most half of the requests succeeded, so the run proves little"
    );
}
