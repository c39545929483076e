//! Connections and targets as a simulated entry VM sees them.

use std::time::Duration;

use carobshore_lib::prelude::*;
use rand::RngExt;

use crate::sim_fault::Step;
use crate::sim_platform::within;
use crate::sim_record::Execution;
use crate::sim_world::MESSAGE_DELAY;
use crate::sim_world::World;

impl World {
    pub(crate) fn at_target(&mut self, target: usize, vm: usize, conn: ConnId, delivery: usize) {
        let at = self.now;
        let state = &self.targets[target];
        let link = self.vms[vm].conns.get(&(target, conn));
        let same_run = link.is_none_or(|link| link.run == state.run);
        if within(&state.down, at) || !same_run {
            return self.on_vm(vm, MESSAGE_DELAY, move |world| {
                world.broken(vm, target, conn)
            });
        }
        let sheds = within(&state.sheds, at);
        let drains = state.drains;
        if drains
            && !self
                .records
                .leaving_periods
                .iter()
                .any(|s| s.target == target && s.until.is_none())
        {
            self.record_leaving(target, at, false);
        }
        if sheds || (drains && self.rng.random_bool(0.5)) {
            let by = if sheds {
                RefusedBy::Shed
            } else {
                RefusedBy::Drain
            };
            return self.on_vm(vm, MESSAGE_DELAY, move |world| {
                world.refused(vm, target, conn, by)
            });
        }
        self.reach_step(Step::Run, vm, Some(target));
        let call = self.records.deliveries[delivery].call;
        self.records.executions.push(Execution {
            call,
            delivery,
            target,
            vm,
            at,
        });
        self.trace_event(|| format!("target {target} runs call {call} delivery {delivery}"));
        self.respond(target, vm, conn, delivery, drains);
    }

    fn respond(&mut self, target: usize, vm: usize, conn: ConnId, delivery: usize, drains: bool) {
        let quick = Duration::from_millis(5) + self.random_time(Duration::from_millis(40));
        let late = self.random_time(Duration::from_secs(2));
        let call = self.records.deliveries[delivery].call;
        let now = self.now;
        let state = &mut self.targets[target];
        let mut time = quick;
        if within(&state.slow, now) {
            time += Duration::from_secs(3);
        }
        if state.late > 0 {
            state.late -= 1;
            let deadline = self.records.deliveries[delivery].deadline;
            time = deadline.saturating_sub(now) + late;
        }
        let cut = state.cut > 0;
        state.cut = state.cut.saturating_sub(1);
        let run = state.run;
        self.after(time, move |world| {
            let link = world.vms[vm].conns.get(&(target, conn));
            let lost = link.is_none_or(|link| link.loses_responses);
            if lost || world.targets[target].run != run {
                return;
            }
            world.on_vm(vm, MESSAGE_DELAY, move |world| {
                world.head(vm, target, conn, call, drains);
            });
            world.on_vm(vm, MESSAGE_DELAY * 3, move |world| match cut {
                true => world.broken(vm, target, conn),
                false => world.end(vm, target, conn),
            });
        });
    }

    fn user(&self, vm: usize, target: usize, conn: ConnId) -> Option<(u64, AttemptId)> {
        self.vms[vm]
            .conns
            .get(&(target, conn))
            .and_then(|link| link.user)
    }

    fn head(&mut self, vm: usize, target: usize, conn: ConnId, call: usize, drains: bool) {
        if drains {
            self.drain_signal(vm, target);
        }
        self.reach_step(Step::Head, vm, Some(target));
        let Some((id, attempt)) = self.user(vm, target, conn) else {
            return;
        };
        if let Some(live) = self.vms[vm].calls.get_mut(&id) {
            live.body = Some(call);
        }
        let status = 200;
        self.give(vm, id, ExchangeEvent::Head { attempt, status });
    }

    fn drain_signal(&mut self, vm: usize, target: usize) {
        let id = Self::target_id(target);
        let state = &mut self.vms[vm];
        let config = state.follower.state().config();
        let service = config.services.get(&self.service);
        if let Some(known) = service.and_then(|service| service.targets.get(&id)) {
            state.leaving.drain_signalled(&LeavingTarget {
                service: self.service.clone(),
                target: id,
                generation: known.generation,
            });
        }
    }

    /// Frees a connection after a complete response and returns who used it.
    fn free(&mut self, vm: usize, target: usize, conn: ConnId) -> Option<(u64, AttemptId)> {
        let (_, now) = self.clocks(vm);
        let at = self.now;
        let state = &mut self.vms[vm];
        let link = state.conns.get_mut(&(target, conn))?;
        let user = link.user.take()?;
        link.last_response = at;
        if !state
            .pools
            .get_mut(&target)
            .unwrap()
            .answered(now, conn, true)
        {
            state.conns.remove(&(target, conn));
        }
        Some(user)
    }

    fn end(&mut self, vm: usize, target: usize, conn: ConnId) {
        self.reach_step(Step::End, vm, Some(target));
        if let Some((id, attempt)) = self.free(vm, target, conn) {
            self.give(vm, id, ExchangeEvent::Ended { attempt });
        }
    }

    fn refused(&mut self, vm: usize, target: usize, conn: ConnId, by: RefusedBy) {
        if by == RefusedBy::Drain {
            self.drain_signal(vm, target);
        }
        if let Some((id, attempt)) = self.free(vm, target, conn) {
            self.give(vm, id, ExchangeEvent::Refused { attempt, by });
        }
    }

    /// A connection breaks.
    pub(crate) fn broken(&mut self, vm: usize, target: usize, conn: ConnId) {
        let user = self.user(vm, target, conn);
        self.vms[vm].conns.remove(&(target, conn));
        if let Some(pool) = self.vms[vm].pools.get_mut(&target) {
            pool.closed(conn);
        }
        if let Some((id, attempt)) = user {
            self.give(vm, id, ExchangeEvent::Broken { attempt });
        }
    }
}
