//! Runs the simulations of a comparison on several threads.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;

use crate::sim_central;
use crate::sim_result::SimResult;
use crate::sim_spec::Routing;
use crate::sim_spec::SimSpec;
use crate::sim_workload;
use crate::sim_world;

/// A comparison of all routings under equal conditions.
#[derive(Clone, Debug)]
pub struct Comparison {
    /// The conditions; the seed is that of the first run.
    pub spec: SimSpec,
    /// The result of each routing over all seeds, in the order of `Routing::ALL`.
    pub results: Vec<SimResult>,
}

impl Comparison {
    /// Returns the result of a routing.
    pub fn result(&self, routing: Routing) -> &SimResult {
        let index = Routing::ALL.iter().position(|other| *other == routing);
        &self.results[index.unwrap_or(0)]
    }
}

/// Runs one simulation.
pub fn run_one(spec: &SimSpec, routing: Routing) -> SimResult {
    let jobs = sim_workload::draw(spec);
    match routing {
        Routing::Central => sim_central::run(spec, &jobs),
        Routing::Policy(policy) => sim_world::run(spec, policy, &jobs),
    }
}

/// Runs every routing under each of the conditions, with `seeds` seeds each.
pub fn run_all(specs: &[SimSpec], seeds: u64, threads: usize) -> Vec<Comparison> {
    let mut tasks = Vec::new();
    for (row, spec) in specs.iter().enumerate() {
        for column in 0..Routing::ALL.len() {
            for step in 0..seeds {
                let seed = spec.seed + step;
                tasks.push((row, column, SimSpec { seed, ..*spec }));
            }
        }
    }
    let next = AtomicUsize::new(0);
    let done = Mutex::new(BTreeMap::new());
    thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| {
                while let Some((row, column, spec)) =
                    tasks.get(next.fetch_add(1, Ordering::Relaxed))
                {
                    let result = run_one(spec, Routing::ALL[*column]);
                    let mut done = done.lock().unwrap_or_else(PoisonError::into_inner);
                    done.insert((*row, *column, spec.seed), result);
                }
            });
        }
    });
    let done = done.into_inner().unwrap_or_else(PoisonError::into_inner);
    let mut comparisons: Vec<_> = specs
        .iter()
        .map(|spec| Comparison {
            spec: *spec,
            results: vec![SimResult::default(); Routing::ALL.len()],
        })
        .collect();
    for ((row, column, _), result) in &done {
        comparisons[*row].results[*column].merge(result);
    }
    comparisons
}
