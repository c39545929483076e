//! One ideal queue in front of all targets, for comparison.

use std::collections::VecDeque;
use std::time::Duration;

use crate::sim_conditions::Conditions;
use crate::sim_queue::EventQueue;
use crate::sim_result::SimResult;
use crate::sim_spec::SimSpec;
use crate::sim_spec::WARM_UP;
use crate::sim_workload::Job;

/// How long a caller waits.
const DEADLINE: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrive(usize),
    Done { target: usize, job: usize },
    Change,
}

struct Central<'a> {
    spec: &'a SimSpec,
    jobs: &'a [Job],
    conditions: Conditions,
    events: EventQueue<Event>,
    waiting: VecDeque<usize>,
    free: Vec<u32>,
    result: SimResult,
}

/// Runs the jobs through one FIFO queue that knows at once which targets are healthy.
///
/// It has no network delay, sends no probes and repeats the requests of targets that disappear.
pub fn run(spec: &SimSpec, jobs: &[Job]) -> SimResult {
    let mut central = Central {
        spec,
        jobs,
        conditions: Conditions::new(spec),
        events: EventQueue::default(),
        waiting: VecDeque::new(),
        free: vec![spec.size.slots; spec.size.targets],
        result: SimResult::default(),
    };
    for (index, job) in jobs.iter().enumerate() {
        central.events.push_at(job.at, Event::Arrive(index));
    }
    for episode in central.conditions.episodes().to_vec() {
        central.events.push_at(episode.until, Event::Change);
    }
    while let Some(event) = central.events.pop() {
        central.apply(event);
    }
    central.result
}

impl Central<'_> {
    fn apply(&mut self, event: Event) {
        match event {
            Event::Arrive(job) => self.waiting.push_back(job),
            Event::Done { target, job } => self.done(target, job),
            Event::Change => {}
        }
        self.start();
    }

    fn done(&mut self, target: usize, index: usize) {
        let now = self.events.now();
        self.free[target] += 1;
        if !self.conditions.exists(target, now) {
            self.waiting.push_front(index);
            return;
        }
        let job = &self.jobs[index];
        if job.at >= WARM_UP {
            self.result.latencies.record(now - job.at);
        }
    }

    fn start(&mut self) {
        let now = self.events.now();
        while let Some(index) = self.waiting.front().copied() {
            let job = self.jobs[index];
            if now > job.at + DEADLINE {
                self.waiting.pop_front();
                self.result.rejected += u64::from(job.at >= WARM_UP);
                continue;
            }
            let usable =
                |target: &usize| self.free[*target] > 0 && self.conditions.is_healthy(*target, now);
            let Some(target) = (0..self.spec.size.targets).find(usable) else {
                return;
            };
            self.waiting.pop_front();
            self.free[target] -= 1;
            let took = self.conditions.service_time(target, now, job.work);
            self.events.push(took, Event::Done { target, job: index });
        }
    }
}
