//! The data plane of a simulated entry VM: requests, connections and targets.

use std::collections::BTreeMap;
use std::time::Duration;

use carobshore_lib::exchange::MAX_ATTEMPTS;
use carobshore_lib::key_table::MAX_WAITERS;
use carobshore_lib::prelude::*;
use rand::RngExt;

use crate::sim_fault::Step;
use crate::sim_platform::within;
use crate::sim_record::RequestKind;
use crate::sim_record::Response;
use crate::sim_world::MESSAGE_DELAY;
use crate::sim_world::World;
use crate::sim_world::WrongRule;

/// The sender of a request: `None` for a caller, otherwise the VM, call and attempt that forward
/// it.
pub(crate) type Origin = Option<(usize, u64, AttemptId)>;

/// A connection to a target.
#[derive(Clone, Debug)]
pub struct Connection {
    /// Whether requests on it are lost.
    pub loses_requests: bool,
    /// Whether responses on it are lost.
    pub loses_responses: bool,
    /// The target's run in which it was opened.
    pub(crate) run: u64,
    /// The call and attempt that use the connection.
    pub(crate) user: Option<(u64, AttemptId)>,
    /// When it was opened or last returned a complete response.
    pub(crate) last_response: Duration,
}

/// A forwarded request in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Forward {
    /// The receiver.
    pub(crate) to: usize,
    /// The delivery that is forwarded.
    pub(crate) delivery: usize,
    /// Whether it has arrived at the receiver.
    pub(crate) accepted: bool,
}

/// A request that a VM is processing.
pub(crate) struct ActiveCall {
    delivery: usize,
    origin: Origin,
    exchange: Exchange,
    /// The key, when this VM owns it.
    pub(crate) key: Option<RequestKey>,
    once: bool,
    attempts: BTreeMap<AttemptId, Attempt>,
    /// The number of the call that the response body names.
    pub(crate) body: Option<usize>,
}

#[derive(Clone, Copy, Debug)]
enum Attempt {
    Target(usize, ConnId),
    Vm,
}

impl World {
    /// Handles a request that arrives at a VM.
    pub(crate) fn on_request(&mut self, vm: usize, delivery: usize, origin: Origin) {
        match origin {
            None => self.records.deliveries[delivery].arrived = true,
            Some(key) => {
                if let Some(forward) = self.forwards.get_mut(&key) {
                    forward.accepted = true;
                }
            }
        }
        self.reach_step(Step::Arrive, vm, None);
        if !self.vms[vm].ready || !self.vms[vm].stop.is_accepting() {
            return self.refuse(delivery, origin, Outcome::NotRun, ResultCode::NotReady);
        }
        let call = &self.records.calls[self.records.deliveries[delivery].call];
        if call.kind != RequestKind::Keyed {
            return self.start_call(vm, delivery, origin, None);
        }
        let key = call.key;
        match self.vms[vm].key_homes.owner(&key).cloned() {
            Some(owner) if origin.is_none() && owner != *self.vms[vm].membership.vm() => {
                self.forward(vm, delivery, &owner);
            }
            _ => self.begin_keyed(vm, delivery, origin, key),
        }
    }

    fn begin_keyed(&mut self, vm: usize, delivery: usize, origin: Origin, key: RequestKey) {
        self.vms[vm].deciding += 1;
        self.reach_step(Step::Begin, vm, None);
        // A pause that starts here ends before the clocks are read.
        self.on_vm(vm, Duration::ZERO, move |world| {
            world.decide_keyed(vm, delivery, origin, key);
        });
    }

    fn decide_keyed(&mut self, vm: usize, delivery: usize, origin: Origin, key: RequestKey) {
        self.vms[vm].deciding -= 1;
        if self.vms[vm].stop.is_stopping() {
            return self.refuse(delivery, origin, Outcome::NotRun, ResultCode::NotReady);
        }
        let (wall, now) = self.clocks(vm);
        let mut ownership = self.vms[vm]
            .ownership
            .histories()
            .get(&self.service)
            .map_or(Ownership::NotOwner, |history| {
                history.owned_since_creation(&key, now, wall)
            });
        if self.follows(WrongRule::NoHistory) && ownership != Ownership::NotOwner {
            ownership = Ownership::Owned;
        }
        let lease = self.lease(vm);
        let call = KeyedCall {
            key,
            fingerprint: 0,
        };
        match self.vms[vm].table.begin(now, wall, call, ownership, &lease) {
            KeyDecision::Run => self.start_call(vm, delivery, origin, Some(key)),
            KeyDecision::Wait => self.wait_for_key(vm, delivery, origin, key),
            decision => self.reply_from_table(delivery, origin, &decision),
        }
    }

    fn lease(&self, vm: usize) -> ReadLease {
        let mut lease = self.vms[vm].lease;
        if self.follows(WrongRule::NoLease) {
            let (_, now) = self.clocks(vm);
            lease.read_ok(now, true);
        }
        lease
    }

    fn wait_for_key(&mut self, vm: usize, delivery: usize, origin: Origin, key: RequestKey) {
        let waiters = self.vms[vm].waiters.entry(key).or_default();
        assert!(waiters.len() < MAX_WAITERS as usize);
        waiters.push((delivery, origin));
        let rest = self.records.deliveries[delivery]
            .deadline
            .saturating_sub(self.now);
        self.on_vm(vm, rest, move |world| {
            let waiters = world.vms[vm].waiters.entry(key).or_default();
            let before = waiters.len();
            waiters.retain(|waiter| *waiter != (delivery, origin));
            if waiters.len() < before {
                world.vms[vm].table.waiter_gone(&key);
                let code = ResultCode::StillRunning;
                world.refuse(delivery, origin, Outcome::MayHaveRun, code);
            }
        });
    }

    /// Replies with a decision of the key table.
    fn reply_from_table(&mut self, delivery: usize, origin: Origin, decision: &KeyDecision) {
        match decision {
            KeyDecision::Replay(response) => {
                let bytes = response.body[..].try_into().unwrap();
                let body = Some(usize::from_le_bytes(bytes));
                self.reply(delivery, origin, Some(Outcome::Whole), ResultCode::Ok, body);
            }
            KeyDecision::Refuse { outcome, code } => {
                self.refuse(delivery, origin, *outcome, *code);
            }
            KeyDecision::Run | KeyDecision::Wait => unreachable!(),
        }
    }

    fn refuse(&mut self, delivery: usize, origin: Origin, outcome: Outcome, code: ResultCode) {
        self.reply(delivery, origin, Some(outcome), code, None);
    }

    /// Sends a response; no outcome means that the connection was aborted.
    fn reply(
        &mut self,
        delivery: usize,
        origin: Origin,
        outcome: Option<Outcome>,
        code: ResultCode,
        body: Option<usize>,
    ) {
        let Some((to, call, attempt)) = origin else {
            self.records.deliveries[delivery].replied = true;
            self.after(MESSAGE_DELAY, move |world| {
                let at = world.now;
                let complete = code == ResultCode::Ok;
                let response = Response {
                    at,
                    outcome,
                    code,
                    body,
                    complete,
                };
                world.on_response(delivery, response);
            });
            return;
        };
        if self.forwards.remove(&(to, call, attempt)).is_none() {
            return;
        }
        self.on_vm(to, MESSAGE_DELAY, move |world| {
            let by = RefusedBy::Vm { code, retry: false };
            match outcome {
                None => world.handle_exchange(to, call, ExchangeEvent::Broken { attempt }),
                Some(Outcome::NotRun) => {
                    world.handle_exchange(to, call, ExchangeEvent::Refused { attempt, by });
                }
                Some(Outcome::MayHaveRun) => {
                    world.handle_exchange(to, call, ExchangeEvent::MayHaveRun { attempt, code });
                }
                Some(Outcome::Whole) => {
                    if let Some(active) = world.vms[to].calls.get_mut(&call) {
                        active.body = body;
                    }
                    let status = 200;
                    world.handle_exchange(to, call, ExchangeEvent::Head { attempt, status });
                    world.handle_exchange(to, call, ExchangeEvent::Ended { attempt });
                }
            }
        });
    }

    fn open_call(
        &mut self,
        vm: usize,
        delivery: usize,
        origin: Origin,
        key: Option<RequestKey>,
    ) -> u64 {
        let id = self.next_id();
        let record = &self.records.deliveries[delivery];
        let call = &self.records.calls[record.call];
        let once = call.kind != RequestKind::Repeatable;
        let deadline = record.deadline;
        let sent_key = (call.kind == RequestKind::Keyed).then_some(call.key);
        let exchange = Exchange::new(CallSpec {
            attempts: MAX_ATTEMPTS,
            repeatable: !once,
            key: sent_key,
            deadline: self.instant(vm, deadline),
        });
        let active = ActiveCall {
            delivery,
            origin,
            exchange,
            key,
            once,
            attempts: BTreeMap::new(),
            body: None,
        };
        self.vms[vm].calls.insert(id, active);
        let rest = deadline.saturating_sub(self.now);
        self.on_vm(vm, rest, move |world| {
            world.handle_exchange(vm, id, ExchangeEvent::TimedOut);
        });
        id
    }

    /// Starts a request that this VM runs on a target.
    fn start_call(&mut self, vm: usize, delivery: usize, origin: Origin, key: Option<RequestKey>) {
        let id = self.open_call(vm, delivery, origin, key);
        self.handle_exchange(vm, id, ExchangeEvent::BodySent);
        if origin.is_none() && self.rng.random_bool(0.02) {
            let delay = self.random_time(Duration::from_secs(1));
            self.on_vm(vm, delay, move |world| {
                world.records.deliveries[delivery].replied = true;
                world.handle_exchange(vm, id, ExchangeEvent::CallerGone);
            });
        }
        self.start_attempt(vm, id);
    }

    fn forward(&mut self, vm: usize, delivery: usize, owner: &VmId) {
        self.reach_step(Step::Forward, vm, None);
        let id = self.open_call(vm, delivery, None, None);
        let attempt = AttemptId(self.next_id());
        self.handle_exchange(vm, id, ExchangeEvent::Started { attempt });
        let Some(to) = self.find_peer(vm, owner) else {
            self.handle_exchange(vm, id, ExchangeEvent::ConnectFailed { attempt });
            return;
        };
        self.on_vm(vm, MESSAGE_DELAY, move |world| {
            if !world.vms[to].alive {
                return world.handle_exchange(vm, id, ExchangeEvent::ConnectFailed { attempt });
            }
            if !world.handle_attempt(vm, id, ExchangeEvent::Sent { attempt }, attempt) {
                return;
            }
            let active = world.vms[vm].calls.get_mut(&id).unwrap();
            active.attempts.insert(attempt, Attempt::Vm);
            let forward = Forward {
                to,
                delivery,
                accepted: false,
            };
            world.forwards.insert((vm, id, attempt), forward);
            world.on_vm(to, MESSAGE_DELAY, move |world| {
                world.on_request(to, delivery, Some((vm, id, attempt)));
            });
        });
    }

    /// Starts the next attempt on a random target that is not leaving.
    fn start_attempt(&mut self, vm: usize, id: u64) {
        let state = &self.vms[vm];
        let config = state.follower.state().config();
        let Some(service) = config.services.get(&self.service) else {
            return self.handle_exchange(
                vm,
                id,
                ExchangeEvent::Rejected {
                    code: ResultCode::NoTarget,
                },
            );
        };
        let open = |target: &&TargetId| {
            self.follows(WrongRule::IgnoreLeaving)
                || !state.leaving.is_leaving(&self.service, target)
        };
        let open: Vec<_> = service.targets.keys().filter(open).cloned().collect();
        if open.is_empty() {
            return self.handle_exchange(
                vm,
                id,
                ExchangeEvent::Rejected {
                    code: ResultCode::NoTarget,
                },
            );
        }
        let target = Self::target_number(&open[self.rng.random_range(0..open.len())]);
        self.record_served(vm);
        let attempt = AttemptId(self.next_id());
        if self.handle_attempt(vm, id, ExchangeEvent::Started { attempt }, attempt) {
            self.connect(vm, id, attempt, target);
        }
    }

    fn connect(&mut self, vm: usize, id: u64, attempt: AttemptId, target: usize) {
        let (_, now) = self.clocks(vm);
        let Some(active) = self.vms[vm].calls.get(&id) else {
            return;
        };
        let need = match active.once && !self.follows(WrongRule::NoFreshness) {
            true => Freshness::Fresh,
            false => Freshness::Any,
        };
        let pools = &mut self.vms[vm].pools;
        let pool = pools
            .entry(target)
            .or_insert_with(|| ConnectionPool::new(20));
        match pool.checkout(now, need) {
            Checkout::AtLimit => {
                let code = ResultCode::QueueFull;
                self.handle_exchange(vm, id, ExchangeEvent::Withdrawn { attempt, code });
            }
            Checkout::Reuse(conn) => self.schedule_write(vm, id, attempt, target, conn),
            Checkout::Open { conn, close } => {
                if let Some(close) = close {
                    self.vms[vm].conns.remove(&(target, close));
                }
                self.reach_step(Step::Connect, vm, Some(target));
                self.on_vm(vm, MESSAGE_DELAY, move |world| {
                    world.on_connected(vm, id, attempt, target, conn);
                });
            }
        }
    }

    fn on_connected(
        &mut self,
        vm: usize,
        id: u64,
        attempt: AttemptId,
        target: usize,
        conn: ConnId,
    ) {
        let (_, now) = self.clocks(vm);
        let at = self.now;
        let up = !within(&self.targets[target].down, at);
        let pool = self.vms[vm].pools.get_mut(&target).unwrap();
        if !up {
            pool.closed(conn);
            return self.handle_exchange(vm, id, ExchangeEvent::ConnectFailed { attempt });
        }
        pool.opened(now, conn);
        let run = self.targets[target].run;
        let opened = Connection {
            loses_requests: false,
            loses_responses: false,
            run,
            user: None,
            last_response: at,
        };
        self.vms[vm].conns.insert((target, conn), opened);
        self.schedule_write(vm, id, attempt, target, conn);
    }

    /// Reaches the write step just before the first byte. A pause injected here delays the write.
    fn schedule_write(
        &mut self,
        vm: usize,
        id: u64,
        attempt: AttemptId,
        target: usize,
        conn: ConnId,
    ) {
        self.reach_step(Step::Write, vm, Some(target));
        self.on_vm(vm, Duration::ZERO, move |world| {
            world.write_request(vm, id, attempt, target, conn);
        });
    }

    fn write_request(
        &mut self,
        vm: usize,
        id: u64,
        attempt: AttemptId,
        target: usize,
        conn: ConnId,
    ) {
        let (wall, now) = self.clocks(vm);
        let lease = self.lease(vm);
        let no_freshness = self.follows(WrongRule::NoFreshness);
        let at = self.now;
        let state = &mut self.vms[vm];
        let pool = state.pools.get_mut(&target).unwrap();
        let Some(active) = state.calls.get(&id) else {
            pool.release_unused(conn);
            return;
        };
        let (delivery, once) = (active.delivery, active.once);
        if active.key.is_some() && !state.table.may_send(now, wall, &lease) {
            pool.release_unused(conn);
            let code = ResultCode::LeaseLapsed;
            return self.handle_exchange(vm, id, ExchangeEvent::Withdrawn { attempt, code });
        }
        let need = if once {
            Freshness::Fresh
        } else {
            Freshness::Any
        };
        let usable = no_freshness || pool.may_send(now, conn, need);
        let Some(connection) = state.conns.get_mut(&(target, conn)).filter(|_| usable) else {
            // The connection was closed or lost its freshness while the request was delayed.
            pool.closed(conn);
            state.conns.remove(&(target, conn));
            return self.connect(vm, id, attempt, target);
        };
        let age = at - connection.last_response;
        if !self.handle_attempt(vm, id, ExchangeEvent::Sent { attempt }, attempt) {
            let pool = self.vms[vm].pools.get_mut(&target).unwrap();
            return pool.release_unused(conn);
        }
        let connection = self.vms[vm].conns.get_mut(&(target, conn)).unwrap();
        connection.user = Some((id, attempt));
        let lost = connection.loses_requests;
        if once {
            self.records.stale_writes.push(age);
        }
        let active = self.vms[vm].calls.get_mut(&id).unwrap();
        active
            .attempts
            .insert(attempt, Attempt::Target(target, conn));
        if !lost {
            self.after(MESSAGE_DELAY, move |world| {
                world.on_target_request(target, vm, conn, delivery);
            });
        }
    }

    /// Passes an event to a request's exchange and carries out the actions.
    pub(crate) fn handle_exchange(&mut self, vm: usize, id: u64, event: ExchangeEvent) {
        self.handle_attempt(vm, id, event, AttemptId(0));
    }

    /// As `handle_exchange`; returns false when the exchange is gone or cancels the attempt.
    fn handle_attempt(
        &mut self,
        vm: usize,
        id: u64,
        event: ExchangeEvent,
        attempt: AttemptId,
    ) -> bool {
        let (_, now) = self.clocks(vm);
        let Some(active) = self.vms[vm].calls.get_mut(&id) else {
            return false;
        };
        let mut out = Vec::new();
        active.exchange.handle(now, event, &mut out);
        let cancelled = out.contains(&ExchangeAction::Cancel { attempt });
        let timed_out = event == ExchangeEvent::TimedOut;
        for action in out {
            self.run_action(vm, id, action, timed_out);
        }
        !cancelled
    }

    fn run_action(&mut self, vm: usize, id: u64, action: ExchangeAction, timed_out: bool) {
        let Some(active) = self.vms[vm].calls.get_mut(&id) else {
            return;
        };
        let (delivery, origin) = (active.delivery, active.origin);
        match action {
            ExchangeAction::Retry => {
                self.on_vm(vm, MESSAGE_DELAY, move |world| world.retry(vm, id));
            }
            ExchangeAction::Relay { .. } => {}
            ExchangeAction::Fail { outcome, code } => {
                let broken = code == ResultCode::ConnectionBroken;
                if self.wrong == Some(WrongRule::ResendBroken)
                    && broken
                    && active.attempts.len() < 3
                {
                    // The wrong rule starts a new exchange that does not know of the first attempt.
                    let (key, attempts) = (active.key.take(), active.attempts.len());
                    self.start_call(vm, delivery, origin, key);
                    let last = self.vms[vm].calls.keys().next_back().copied();
                    let new = self.vms[vm].calls.get_mut(&last.unwrap()).unwrap();
                    let used = AttemptId(u64::MAX - attempts as u64);
                    new.attempts.insert(used, Attempt::Vm);
                    return;
                }
                let wrong = self.follows(WrongRule::ClaimNotRun) && broken;
                let outcome = if wrong { Outcome::NotRun } else { outcome };
                self.refuse(delivery, origin, outcome, code);
            }
            ExchangeAction::Cancel { attempt } => {
                if let Some(Attempt::Target(target, conn)) = active.attempts.remove(&attempt) {
                    self.cancel(vm, target, conn, timed_out);
                }
            }
            ExchangeAction::Abort => {
                let body = active.body;
                match self.follows(WrongRule::RelayTruncated) {
                    true => {
                        let whole = Some(Outcome::Whole);
                        self.reply(delivery, origin, whole, ResultCode::AnswerCut, body);
                    }
                    false => self.reply(delivery, origin, None, ResultCode::AnswerCut, None),
                }
            }
            ExchangeAction::Done { outcome, code } => self.on_done(vm, id, outcome, code),
        }
    }

    fn retry(&mut self, vm: usize, id: u64) {
        let Some(active) = self.vms[vm].calls.get(&id) else {
            return;
        };
        let forwards = active.key.is_none()
            && self.records.calls[self.records.deliveries[active.delivery].call].kind
                == RequestKind::Keyed;
        match forwards {
            // The owner cannot be reached, and no other VM may run the request.
            true => {
                let code = ResultCode::HomeUnreachable;
                self.handle_exchange(vm, id, ExchangeEvent::Rejected { code });
            }
            false => self.start_attempt(vm, id),
        }
    }

    /// Closes a connection whose response is no longer wanted.
    fn cancel(&mut self, vm: usize, target: usize, conn: ConnId, timed_out: bool) {
        let (_, now) = self.clocks(vm);
        let at = self.now;
        let state = &mut self.vms[vm];
        let Some(pool) = state.pools.get_mut(&target) else {
            return;
        };
        if self.wrong == Some(WrongRule::ReuseTimedOut) {
            if let Some(connection) = state.conns.get_mut(&(target, conn)) {
                connection.user = None;
                connection.last_response = at;
                pool.answered(now, conn, true);
            }
            return;
        }
        let closed = match timed_out {
            true => pool.timed_out(conn),
            false => {
                pool.closed(conn);
                Vec::new()
            }
        };
        state.conns.remove(&(target, conn));
        for conn in closed {
            state.conns.remove(&(target, conn));
        }
    }

    fn on_done(&mut self, vm: usize, id: u64, outcome: Outcome, code: ResultCode) {
        let Some(active) = self.vms[vm].calls.remove(&id) else {
            return;
        };
        let (delivery, origin) = (active.delivery, active.origin);
        if outcome == Outcome::Whole {
            self.reply(delivery, origin, Some(outcome), code, active.body);
        }
        let Some(key) = active.key else {
            return self.report_in_flight(vm);
        };
        let response = active.body.map(|body| StoredResponse {
            status: 200,
            headers: Vec::new(),
            body: body.to_le_bytes().into(),
        });
        let stored = match outcome {
            Outcome::Whole => StoredOutcome::Whole(response),
            Outcome::NotRun => StoredOutcome::NotRun(code),
            Outcome::MayHaveRun => StoredOutcome::MayHaveRun(code),
        };
        let decision = self.vms[vm].table.finish(key, stored);
        for (delivery, origin) in self.vms[vm].waiters.remove(&key).into_iter().flatten() {
            self.reply_from_table(delivery, origin, &decision);
        }
        self.report_in_flight(vm);
    }
}
