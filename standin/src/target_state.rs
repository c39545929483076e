//! The state of a target, shared by its requests.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::conn_table::ConnTable;
use crate::executions::Executions;
use crate::noise::Noise;
use crate::service_time::ServiceTime;
use crate::slot_queue::SlotQueue;
use crate::target_faults::Load;
use crate::target_faults::TargetFaults;
use crate::target_settings::TargetSettings;
use crate::trigger::Trigger;

/// Maximum number of past loads kept for delayed reports.
const MAX_LOADS: usize = 4096;

/// The state of a running target.
#[derive(Debug)]
pub struct TargetState {
    /// The settings that the target was started with.
    pub settings: TargetSettings,
    /// The slots and the queue.
    pub slots: SlotQueue,
    started: Instant,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    faults: TargetFaults,
    executions: Executions,
    conns: ConnTable,
    loads: VecDeque<(Instant, Load)>,
    times: ServiceTime,
    random: StdRng,
}

impl TargetState {
    /// Builds the state of a target that starts now.
    pub fn new(settings: TargetSettings) -> Self {
        let inner = Inner {
            faults: TargetFaults::default(),
            executions: Executions::default(),
            conns: ConnTable::default(),
            loads: VecDeque::new(),
            times: ServiceTime::new(settings.mean, settings.sigma),
            random: StdRng::seed_from_u64(settings.seed),
        };
        Self {
            slots: SlotQueue::new(settings.slots, settings.queue),
            settings,
            started: Instant::now(),
            inner: Mutex::new(inner),
        }
    }

    /// Returns the faults.
    pub fn faults(&self) -> TargetFaults {
        self.lock().faults
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: TargetFaults) {
        let mut inner = self.lock();
        inner.faults = faults;
        if faults.silence {
            inner.conns.silence(Instant::now());
            inner.faults.silence = false;
        }
    }

    /// Decides whether the picked trigger hits this request.
    pub fn fires(&self, pick: impl Fn(&mut TargetFaults) -> &mut Trigger) -> bool {
        let mut inner = self.lock();
        let inner = &mut *inner;
        pick(&mut inner.faults).fires(&mut inner.random)
    }

    /// Records a new connection.
    pub fn accept(&self, peer: SocketAddr) {
        self.lock().conns.accept(Instant::now(), peer);
    }

    /// Returns whether the connection has stopped responding.
    pub fn is_silent(&self, peer: Option<SocketAddr>) -> bool {
        let inner = self.lock();
        peer.is_some_and(|peer| inner.conns.is_silent(peer))
    }

    /// Returns the total number of accepted connections.
    pub fn connections(&self) -> u64 {
        self.lock().conns.count()
    }

    /// Updates the execution counts.
    pub fn update_counts(&self, edit: impl FnOnce(&mut Executions)) {
        edit(&mut self.lock().executions);
    }

    /// Returns the execution counts.
    pub fn executions(&self) -> Executions {
        self.lock().executions.clone()
    }

    /// Counts a probe that ends now and took `cost` of slot time.
    pub fn record_probe(&self, cost: Duration) {
        let since = self.started.elapsed();
        self.update_counts(|executions| executions.record_probe(since, cost));
    }

    /// Draws the service time of a request that starts now.
    pub fn service_time(&self) -> Duration {
        let mut inner = self.lock();
        let inner = &mut *inner;
        let work = inner.times.draw(&mut inner.random);
        self.slow_down(&inner.faults, work)
    }

    /// Returns the service time of a probe that starts now.
    pub fn probe_time(&self) -> Duration {
        let faults = self.faults();
        self.slow_down(&faults, self.settings.probe)
    }

    /// Returns the load to report in the response to a request that still holds its slot; that slot
    /// is not counted.
    pub fn reported_load(&self) -> Load {
        let now = Instant::now();
        let load = Load {
            in_flight: self.slots.in_flight().saturating_sub(1),
            queued: self.slots.queued(),
        };
        let mut inner = self.lock();
        inner.loads.push_back((now, load));
        if inner.loads.len() > MAX_LOADS {
            inner.loads.pop_front();
        }
        let lag = Duration::from_millis(inner.faults.load_lag_ms);
        let old_enough = |at: &Instant| now.saturating_duration_since(*at) >= lag;
        let seen = inner.loads.iter().rev().find(|(at, _)| old_enough(at));
        let reported = seen.map(|(_, load)| *load).unwrap_or_default();
        inner.faults.lie.unwrap_or(reported)
    }

    fn slow_down(&self, faults: &TargetFaults, work: Duration) -> Duration {
        let age = self.started.elapsed();
        let is_cold = age < self.settings.cold;
        let cold = if is_cold {
            self.settings.cold_factor
        } else {
            1.0
        };
        let noise = Noise {
            period: Duration::from_millis(faults.noise_ms),
            max_factor: faults.noise,
            seed: self.settings.seed,
        };
        noise.stretch(age, work.mul_f64(faults.straggle.max(0.0) * cold))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
