//! What becomes of attempts and requests in a simulation.

use std::time::Duration;

use carobshore_lib::prelude::AttemptResult;
use carobshore_lib::prelude::PeerLoad;
use carobshore_lib::prelude::PoolEvent;
use carobshore_lib::prelude::TargetLoad;

use crate::sim_event::Event;
use crate::sim_event::Sending;
use crate::sim_spec::WARM_UP;
use crate::sim_target::AttemptRef;
use crate::sim_vm::PoolId;
use crate::sim_vm::PoolKind;
use crate::sim_world::World;

/// A request is sent at most this often.
const MAX_SENDINGS: u8 = 20;

impl World<'_> {
    /// A response arrives at the pool that made the attempt.
    pub(crate) fn response(
        &mut self,
        attempt: AttemptRef,
        in_flight: u32,
        queued: u32,
        drains: bool,
    ) {
        let pool = attempt.pool;
        if !self.exists(pool.vm) {
            return;
        }
        let Some(place) = self.places.remove(&attempt) else {
            return;
        };
        let target = self.target_ids[place.target].clone();
        self.pool(
            pool,
            PoolEvent::FirstByte {
                attempt: attempt.id,
            },
        );
        let finished = PoolEvent::Finished {
            attempt: attempt.id,
            result: AttemptResult::Done,
        };
        self.pool(pool, finished);
        let load = TargetLoad { in_flight, queued };
        let report = PoolEvent::Report {
            target: target.clone(),
            load,
        };
        self.pool(pool, report);
        if drains {
            self.pool(pool, PoolEvent::Drain { target });
        }
        self.end_attempt(place.sending);
        if let Some(sending) = place.sending {
            self.hand_back(sending, pool.vm);
        }
    }

    /// An attempt failed without a response.
    pub(crate) fn failed(&mut self, attempt: AttemptRef, result: AttemptResult) {
        let pool = attempt.pool;
        if !self.exists(pool.vm) {
            return;
        }
        let Some(place) = self.places.remove(&attempt) else {
            return;
        };
        let id = attempt.id;
        self.pool(
            pool,
            PoolEvent::Finished {
                attempt: id,
                result,
            },
        );
        self.end_attempt(place.sending);
        if let Some(sending) = place.sending {
            self.send_again(sending, pool, result == AttemptResult::ConnectFailed);
        }
    }

    /// Counts an attempt of a request as ended.
    pub(crate) fn end_attempt(&mut self, sending: Option<Sending>) {
        let Some(sending) = sending else { return };
        let open = self.open.get_mut(&sending.job);
        if let Some(open) = open.filter(|open| open.number == sending.number) {
            open.attempts = open.attempts.saturating_sub(1);
        }
    }

    /// Sends a request again from the pool in which its attempt failed, if that is allowed.
    fn send_again(&mut self, sending: Sending, pool: PoolId, did_not_run: bool) {
        let Some(next) = self.next_sending(sending, did_not_run) else {
            return;
        };
        let spilled = self.open[&sending.job].path.len() > 2;
        self.submit(next, pool.vm, pool.kind, spilled);
    }

    /// Returns the next sending of a request, or answers the request if there is none.
    fn next_sending(&mut self, sending: Sending, did_not_run: bool) -> Option<Sending> {
        let open = self.open.get_mut(&sending.job)?;
        if open.number != sending.number || open.attempts > 0 {
            return None;
        }
        if !did_not_run && !self.jobs[sending.job].idempotent {
            self.lose(sending.job);
            return None;
        }
        if sending.number >= MAX_SENDINGS {
            self.reject(sending);
            return None;
        }
        open.number += 1;
        Some(Sending {
            number: open.number,
            ..sending
        })
    }

    /// The entry VM gives up a request whose path leads through a VM that is gone.
    pub(crate) fn give_up(&mut self, sending: Sending) {
        let Some(open) = self.open.get_mut(&sending.job) else {
            return;
        };
        if open.number != sending.number {
            return;
        }
        open.attempts = 0;
        let entry = open.path[0];
        if let Some(next) = self.next_sending(sending, false) {
            self.route(next, entry);
        }
    }

    /// Answers a request "not run".
    pub(crate) fn reject(&mut self, sending: Sending) {
        let open = self.open.get(&sending.job);
        if open.is_some_and(|open| open.number == sending.number) {
            self.open.remove(&sending.job);
            self.result.rejected += u64::from(self.jobs[sending.job].at >= WARM_UP);
        }
    }

    /// Answers a request "may have run", or breaks its caller's connection.
    pub(crate) fn lose(&mut self, job: usize) {
        if self.open.remove(&job).is_some() {
            self.result.lost += u64::from(self.jobs[job].at >= WARM_UP);
        }
    }

    /// Sends a response back along the path of its request.
    fn hand_back(&mut self, sending: Sending, vm: usize) {
        let Some(open) = self.open.get(&sending.job) else {
            return;
        };
        if open.number != sending.number {
            return;
        }
        match open.path.iter().position(|hop| *hop == vm) {
            Some(0) | None => self.answer(sending.job),
            Some(hop) => self.pass_back(sending, hop),
        }
    }

    /// Sends a response from the given position of the path to the one before it.
    fn pass_back(&mut self, sending: Sending, hop: usize) {
        let path = &self.open[&sending.job].path;
        let (from, to) = (path[hop], path[hop - 1]);
        let event = Event::Returned {
            sending,
            hop: hop - 1,
            from,
            load: self.vms[from].reported_load(),
        };
        self.events.push(self.spec.size.delay(from, to), event);
    }

    /// A response arrives at a VM on its way back.
    pub(crate) fn returned(
        &mut self,
        sending: Sending,
        hop: usize,
        from: usize,
        load: Option<(u32, u32)>,
    ) {
        let open = self.open.get(&sending.job);
        let Some(open) = open.filter(|open| open.number == sending.number) else {
            return;
        };
        let vm = open.path[hop];
        if !self.exists(vm) {
            return;
        }
        if let Some(load) = load {
            self.learn(vm, from, load);
        }
        if hop == 0 {
            self.answer(sending.job);
        } else {
            self.pass_back(sending, hop);
        }
    }

    fn answer(&mut self, job: usize) {
        let arrived = self.jobs[job].at;
        if self.open.remove(&job).is_some() && arrived >= WARM_UP {
            let latency: Duration = self.events.now() - arrived;
            self.result.latencies.record(latency);
        }
    }

    /// A VM learns the load of a home.
    pub(crate) fn learn(&mut self, vm: usize, from: usize, (free, queued): (u32, u32)) {
        if !self.exists(vm) {
            return;
        }
        let now = self.instant();
        let load = PeerLoad {
            vm: self.vms[from].id.clone(),
            free,
            queued,
        };
        self.vms[vm].router.observe(now, &load);
        let kind = PoolKind::Owned;
        self.pool(PoolId { vm, kind }, PoolEvent::Peer(load));
    }
}
