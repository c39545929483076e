//! What a simulated entry VM sends to targets and receives from them on its connections.

use std::time::Duration;

use carobshore_lib::prelude::*;
use rand::RngExt;

use crate::sim_fault::Step;
use crate::sim_platform::within;
use crate::sim_record::Execution;
use crate::sim_world::MESSAGE_DELAY;
use crate::sim_world::World;

impl World {
    pub(crate) fn on_target_request(
        &mut self,
        target: usize,
        vm: usize,
        conn: ConnId,
        delivery: usize,
    ) {
        let at = self.now;
        let state = &self.targets[target];
        let connection = self.vms[vm].conns.get(&(target, conn));
        let same_run = connection.is_none_or(|connection| connection.run == state.run);
        if within(&state.down, at) || !same_run {
            return self.on_vm(vm, MESSAGE_DELAY, move |world| {
                world.on_broken(vm, target, conn);
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
                world.on_refused(vm, target, conn, by);
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
            let connection = world.vms[vm].conns.get(&(target, conn));
            let lost = connection.is_none_or(|connection| connection.loses_responses);
            if lost || world.targets[target].run != run {
                return;
            }
            world.on_vm(vm, MESSAGE_DELAY, move |world| {
                world.on_head(vm, target, conn, call, drains);
            });
            world.on_vm(vm, MESSAGE_DELAY * 3, move |world| match cut {
                true => world.on_broken(vm, target, conn),
                false => world.on_end(vm, target, conn),
            });
        });
    }

    fn connection_user(&self, vm: usize, target: usize, conn: ConnId) -> Option<(u64, AttemptId)> {
        self.vms[vm]
            .conns
            .get(&(target, conn))
            .and_then(|connection| connection.user)
    }

    fn on_head(&mut self, vm: usize, target: usize, conn: ConnId, call: usize, drains: bool) {
        if drains {
            self.on_drain_signal(vm, target);
        }
        self.reach_step(Step::Head, vm, Some(target));
        let Some((id, attempt)) = self.connection_user(vm, target, conn) else {
            return;
        };
        if let Some(active) = self.vms[vm].calls.get_mut(&id) {
            active.body = Some(call);
        }
        let status = 200;
        self.handle_exchange(vm, id, ExchangeEvent::Head { attempt, status });
    }

    fn on_drain_signal(&mut self, vm: usize, target: usize) {
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
    fn release_connection(
        &mut self,
        vm: usize,
        target: usize,
        conn: ConnId,
    ) -> Option<(u64, AttemptId)> {
        let (_, now) = self.clocks(vm);
        let at = self.now;
        let state = &mut self.vms[vm];
        let connection = state.conns.get_mut(&(target, conn))?;
        let user = connection.user.take()?;
        connection.last_response = at;
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

    fn on_end(&mut self, vm: usize, target: usize, conn: ConnId) {
        self.reach_step(Step::End, vm, Some(target));
        if let Some((id, attempt)) = self.release_connection(vm, target, conn) {
            self.handle_exchange(vm, id, ExchangeEvent::Ended { attempt });
        }
    }

    fn on_refused(&mut self, vm: usize, target: usize, conn: ConnId, by: RefusedBy) {
        if by == RefusedBy::Drain {
            self.on_drain_signal(vm, target);
        }
        if let Some((id, attempt)) = self.release_connection(vm, target, conn) {
            self.handle_exchange(vm, id, ExchangeEvent::Refused { attempt, by });
        }
    }

    /// Removes a broken connection and fails the attempt that uses it.
    pub(crate) fn on_broken(&mut self, vm: usize, target: usize, conn: ConnId) {
        let user = self.connection_user(vm, target, conn);
        self.vms[vm].conns.remove(&(target, conn));
        if let Some(pool) = self.vms[vm].pools.get_mut(&target) {
            pool.closed(conn);
        }
        if let Some((id, attempt)) = user {
            self.handle_exchange(vm, id, ExchangeEvent::Broken { attempt });
        }
    }
}
