//! The data side of a simulated entry VM: requests, connections and targets.

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

/// Where a request came from: a caller, or the call and attempt of another VM.
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
    /// The call and attempt that use it.
    pub(crate) user: Option<(u64, AttemptId)>,
    /// When it last answered.
    pub(crate) last_response: Duration,
}

/// A forwarded request in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Forward {
    /// The receiver.
    pub(crate) to: usize,
    /// The delivery that is forwarded.
    pub(crate) delivery: usize,
    /// Whether the receiver has got it.
    pub(crate) accepted: bool,
}

/// A request that a VM works on.
pub(crate) struct LiveCall {
    delivery: usize,
    origin: Origin,
    exchange: Exchange,
    /// The key, when this VM owns it.
    pub(crate) key: Option<RequestKey>,
    once: bool,
    attempts: BTreeMap<AttemptId, Attempt>,
    /// The call that the response names.
    pub(crate) body: Option<usize>,
}

#[derive(Clone, Copy, Debug)]
enum Attempt {
    Target(usize, ConnId),
    Vm,
}

impl World {
    /// A request arrives at a VM.
    pub(crate) fn arrive(&mut self, vm: usize, delivery: usize, origin: Origin) {
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
            return self.run(vm, delivery, origin, None);
        }
        let key = call.key;
        match self.vms[vm].key_homes.owner(&key).cloned() {
            Some(owner) if origin.is_none() && owner != *self.vms[vm].membership.vm() => {
                self.forward(vm, delivery, &owner);
            }
            _ => self.begin(vm, delivery, origin, key),
        }
    }

    fn begin(&mut self, vm: usize, delivery: usize, origin: Origin, key: RequestKey) {
        self.vms[vm].deciding += 1;
        self.reach_step(Step::Begin, vm, None);
        // A pause that starts here ends before the clocks are read.
        self.on_vm(vm, Duration::ZERO, move |world| {
            world.decide(vm, delivery, origin, key);
        });
    }

    fn decide(&mut self, vm: usize, delivery: usize, origin: Origin, key: RequestKey) {
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
        if self.breaks(WrongRule::NoHistory) && ownership != Ownership::NotOwner {
            ownership = Ownership::Owned;
        }
        let lease = self.lease(vm);
        let call = KeyedCall {
            key,
            fingerprint: 0,
        };
        match self.vms[vm].table.begin(now, wall, call, ownership, &lease) {
            KeyDecision::Run => self.run(vm, delivery, origin, Some(key)),
            KeyDecision::Wait => self.wait(vm, delivery, origin, key),
            decision => self.tell(delivery, origin, &decision),
        }
    }

    fn lease(&self, vm: usize) -> ReadLease {
        let mut lease = self.vms[vm].lease;
        if self.breaks(WrongRule::NoLease) {
            let (_, now) = self.clocks(vm);
            lease.read_ok(now, true);
        }
        lease
    }

    fn wait(&mut self, vm: usize, delivery: usize, origin: Origin, key: RequestKey) {
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

    /// Answers from the key table.
    fn tell(&mut self, delivery: usize, origin: Origin, decision: &KeyDecision) {
        match decision {
            KeyDecision::Replay(answer) => {
                let bytes = answer.body[..].try_into().unwrap();
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
                let answer = Response {
                    at,
                    outcome,
                    code,
                    body,
                    complete,
                };
                world.got(delivery, answer);
            });
            return;
        };
        if self.forwards.remove(&(to, call, attempt)).is_none() {
            return;
        }
        self.on_vm(to, MESSAGE_DELAY, move |world| {
            let by = RefusedBy::Vm { code, retry: false };
            match outcome {
                None => world.give(to, call, ExchangeEvent::Broken { attempt }),
                Some(Outcome::NotRun) => {
                    world.give(to, call, ExchangeEvent::Refused { attempt, by });
                }
                Some(Outcome::MayHaveRun) => {
                    world.give(to, call, ExchangeEvent::MayHaveRun { attempt, code });
                }
                Some(Outcome::Whole) => {
                    if let Some(live) = world.vms[to].calls.get_mut(&call) {
                        live.body = body;
                    }
                    let status = 200;
                    world.give(to, call, ExchangeEvent::Head { attempt, status });
                    world.give(to, call, ExchangeEvent::Ended { attempt });
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
        let live = LiveCall {
            delivery,
            origin,
            exchange,
            key,
            once,
            attempts: BTreeMap::new(),
            body: None,
        };
        self.vms[vm].calls.insert(id, live);
        let rest = deadline.saturating_sub(self.now);
        self.on_vm(vm, rest, move |world| {
            world.give(vm, id, ExchangeEvent::TimedOut);
        });
        id
    }

    /// Starts a request that this VM runs on a target.
    fn run(&mut self, vm: usize, delivery: usize, origin: Origin, key: Option<RequestKey>) {
        let id = self.open_call(vm, delivery, origin, key);
        self.give(vm, id, ExchangeEvent::BodySent);
        if origin.is_none() && self.rng.random_bool(0.02) {
            let delay = self.random_time(Duration::from_secs(1));
            self.on_vm(vm, delay, move |world| {
                world.records.deliveries[delivery].replied = true;
                world.give(vm, id, ExchangeEvent::CallerGone);
            });
        }
        self.start(vm, id);
    }

    fn forward(&mut self, vm: usize, delivery: usize, owner: &VmId) {
        self.reach_step(Step::Forward, vm, None);
        let id = self.open_call(vm, delivery, None, None);
        let attempt = AttemptId(self.next_id());
        self.give(vm, id, ExchangeEvent::Started { attempt });
        let Some(to) = self.find_peer(vm, owner) else {
            self.give(vm, id, ExchangeEvent::ConnectFailed { attempt });
            return;
        };
        self.on_vm(vm, MESSAGE_DELAY, move |world| {
            if !world.vms[to].alive {
                return world.give(vm, id, ExchangeEvent::ConnectFailed { attempt });
            }
            if !world.give_allowed(vm, id, ExchangeEvent::Sent { attempt }, attempt) {
                return;
            }
            let live = world.vms[vm].calls.get_mut(&id).unwrap();
            live.attempts.insert(attempt, Attempt::Vm);
            let forward = Forward {
                to,
                delivery,
                accepted: false,
            };
            world.forwards.insert((vm, id, attempt), forward);
            world.on_vm(to, MESSAGE_DELAY, move |world| {
                world.arrive(to, delivery, Some((vm, id, attempt)));
            });
        });
    }

    /// Asks for a target and a connection for the next attempt.
    fn start(&mut self, vm: usize, id: u64) {
        let state = &self.vms[vm];
        let config = state.follower.state().config();
        let Some(service) = config.services.get(&self.service) else {
            return self.give(
                vm,
                id,
                ExchangeEvent::Rejected {
                    code: ResultCode::NoTarget,
                },
            );
        };
        let open = |target: &&TargetId| {
            self.breaks(WrongRule::IgnoreLeaving)
                || !state.leaving.is_leaving(&self.service, target)
        };
        let open: Vec<_> = service.targets.keys().filter(open).cloned().collect();
        if open.is_empty() {
            return self.give(
                vm,
                id,
                ExchangeEvent::Rejected {
                    code: ResultCode::NoTarget,
                },
            );
        }
        let target = Self::target_number(&open[self.rng.random_range(0..open.len())]);
        self.note_served(vm);
        let attempt = AttemptId(self.next_id());
        if self.give_allowed(vm, id, ExchangeEvent::Started { attempt }, attempt) {
            self.connect(vm, id, attempt, target);
        }
    }

    fn connect(&mut self, vm: usize, id: u64, attempt: AttemptId, target: usize) {
        let (_, now) = self.clocks(vm);
        let Some(live) = self.vms[vm].calls.get(&id) else {
            return;
        };
        let need = match live.once && !self.breaks(WrongRule::NoFreshness) {
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
                self.give(vm, id, ExchangeEvent::Withdrawn { attempt, code });
            }
            Checkout::Reuse(conn) => self.write(vm, id, attempt, target, conn),
            Checkout::Open { conn, close } => {
                if let Some(close) = close {
                    self.vms[vm].conns.remove(&(target, close));
                }
                self.reach_step(Step::Connect, vm, Some(target));
                self.on_vm(vm, MESSAGE_DELAY, move |world| {
                    world.connected(vm, id, attempt, target, conn);
                });
            }
        }
    }

    fn connected(&mut self, vm: usize, id: u64, attempt: AttemptId, target: usize, conn: ConnId) {
        let (_, now) = self.clocks(vm);
        let at = self.now;
        let up = !within(&self.targets[target].down, at);
        let pool = self.vms[vm].pools.get_mut(&target).unwrap();
        if !up {
            pool.closed(conn);
            return self.give(vm, id, ExchangeEvent::ConnectFailed { attempt });
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
        self.write(vm, id, attempt, target, conn);
    }

    /// The moment before the first byte. A pause that is injected here delays what follows.
    fn write(&mut self, vm: usize, id: u64, attempt: AttemptId, target: usize, conn: ConnId) {
        self.reach_step(Step::Write, vm, Some(target));
        self.on_vm(vm, Duration::ZERO, move |world| {
            world.first_byte(vm, id, attempt, target, conn);
        });
    }

    fn first_byte(&mut self, vm: usize, id: u64, attempt: AttemptId, target: usize, conn: ConnId) {
        let (wall, now) = self.clocks(vm);
        let lease = self.lease(vm);
        let no_freshness = self.breaks(WrongRule::NoFreshness);
        let at = self.now;
        let state = &mut self.vms[vm];
        let pool = state.pools.get_mut(&target).unwrap();
        let Some(live) = state.calls.get(&id) else {
            pool.release_unused(conn);
            return;
        };
        let (delivery, once) = (live.delivery, live.once);
        if live.key.is_some() && !state.table.may_send(now, wall, &lease) {
            pool.release_unused(conn);
            let code = ResultCode::LeaseLapsed;
            return self.give(vm, id, ExchangeEvent::Withdrawn { attempt, code });
        }
        let need = if once {
            Freshness::Fresh
        } else {
            Freshness::Any
        };
        let usable = no_freshness || pool.may_send(now, conn, need);
        let Some(link) = state.conns.get_mut(&(target, conn)).filter(|_| usable) else {
            // Closed or no longer fresh while the request was held up.
            pool.closed(conn);
            state.conns.remove(&(target, conn));
            return self.connect(vm, id, attempt, target);
        };
        let age = at - link.last_response;
        if !self.give_allowed(vm, id, ExchangeEvent::Sent { attempt }, attempt) {
            let pool = self.vms[vm].pools.get_mut(&target).unwrap();
            return pool.release_unused(conn);
        }
        let link = self.vms[vm].conns.get_mut(&(target, conn)).unwrap();
        link.user = Some((id, attempt));
        let lost = link.loses_requests;
        if once {
            self.records.stale_writes.push(age);
        }
        let live = self.vms[vm].calls.get_mut(&id).unwrap();
        live.attempts.insert(attempt, Attempt::Target(target, conn));
        if !lost {
            self.after(MESSAGE_DELAY, move |world| {
                world.at_target(target, vm, conn, delivery);
            });
        }
    }

    /// Gives an event to a request's exchange and carries out the actions.
    pub(crate) fn give(&mut self, vm: usize, id: u64, event: ExchangeEvent) {
        self.give_allowed(vm, id, event, AttemptId(0));
    }

    /// As `give`; returns false when the exchange is gone or cancels the attempt.
    fn give_allowed(
        &mut self,
        vm: usize,
        id: u64,
        event: ExchangeEvent,
        attempt: AttemptId,
    ) -> bool {
        let (_, now) = self.clocks(vm);
        let Some(live) = self.vms[vm].calls.get_mut(&id) else {
            return false;
        };
        let mut out = Vec::new();
        live.exchange.handle(now, event, &mut out);
        let cancelled = out.contains(&ExchangeAction::Cancel { attempt });
        let silent = event == ExchangeEvent::TimedOut;
        for action in out {
            self.act(vm, id, action, silent);
        }
        !cancelled
    }

    fn act(&mut self, vm: usize, id: u64, action: ExchangeAction, silent: bool) {
        let Some(live) = self.vms[vm].calls.get_mut(&id) else {
            return;
        };
        let (delivery, origin) = (live.delivery, live.origin);
        match action {
            ExchangeAction::Retry => {
                self.on_vm(vm, MESSAGE_DELAY, move |world| world.retry(vm, id));
            }
            ExchangeAction::Relay { .. } => {}
            ExchangeAction::Fail { outcome, code } => {
                let broken = code == ResultCode::ConnectionBroken;
                if self.wrong == Some(WrongRule::ResendBroken) && broken && live.attempts.len() < 3
                {
                    // The wrong rule: a new exchange, which knows nothing of the first attempt.
                    let (key, attempts) = (live.key.take(), live.attempts.len());
                    self.run(vm, delivery, origin, key);
                    let last = self.vms[vm].calls.keys().next_back().copied();
                    let new = self.vms[vm].calls.get_mut(&last.unwrap()).unwrap();
                    let used = AttemptId(u64::MAX - attempts as u64);
                    new.attempts.insert(used, Attempt::Vm);
                    return;
                }
                let wrong = self.breaks(WrongRule::ClaimNotRun) && broken;
                let outcome = if wrong { Outcome::NotRun } else { outcome };
                self.refuse(delivery, origin, outcome, code);
            }
            ExchangeAction::Cancel { attempt } => {
                if let Some(Attempt::Target(target, conn)) = live.attempts.remove(&attempt) {
                    self.cancel(vm, target, conn, silent);
                }
            }
            ExchangeAction::Abort => {
                let body = live.body;
                match self.breaks(WrongRule::RelayTruncated) {
                    true => {
                        let whole = Some(Outcome::Whole);
                        self.reply(delivery, origin, whole, ResultCode::AnswerCut, body);
                    }
                    false => self.reply(delivery, origin, None, ResultCode::AnswerCut, None),
                }
            }
            ExchangeAction::Done { outcome, code } => self.done(vm, id, outcome, code),
        }
    }

    fn retry(&mut self, vm: usize, id: u64) {
        let Some(live) = self.vms[vm].calls.get(&id) else {
            return;
        };
        let forwards = live.key.is_none()
            && self.records.calls[self.records.deliveries[live.delivery].call].kind
                == RequestKind::Keyed;
        match forwards {
            // The owner cannot be reached, and no other VM may run the request.
            true => {
                let code = ResultCode::HomeUnreachable;
                self.give(vm, id, ExchangeEvent::Rejected { code });
            }
            false => self.start(vm, id),
        }
    }

    /// Closes a connection whose response is no longer wanted.
    fn cancel(&mut self, vm: usize, target: usize, conn: ConnId, silent: bool) {
        let (_, now) = self.clocks(vm);
        let at = self.now;
        let state = &mut self.vms[vm];
        let Some(pool) = state.pools.get_mut(&target) else {
            return;
        };
        if self.wrong == Some(WrongRule::ReuseTimedOut) {
            if let Some(link) = state.conns.get_mut(&(target, conn)) {
                link.user = None;
                link.last_response = at;
                pool.answered(now, conn, true);
            }
            return;
        }
        let closed = match silent {
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

    fn done(&mut self, vm: usize, id: u64, outcome: Outcome, code: ResultCode) {
        let Some(live) = self.vms[vm].calls.remove(&id) else {
            return;
        };
        let (delivery, origin) = (live.delivery, live.origin);
        if outcome == Outcome::Whole {
            self.reply(delivery, origin, Some(outcome), code, live.body);
        }
        let Some(key) = live.key else {
            return self.count_calls(vm);
        };
        let answer = live.body.map(|body| StoredResponse {
            status: 200,
            headers: Vec::new(),
            body: body.to_le_bytes().into(),
        });
        let stored = match outcome {
            Outcome::Whole => StoredOutcome::Whole(answer),
            Outcome::NotRun => StoredOutcome::NotRun(code),
            Outcome::MayHaveRun => StoredOutcome::MayHaveRun(code),
        };
        let decision = self.vms[vm].table.finish(key, stored);
        for (delivery, origin) in self.vms[vm].waiters.remove(&key).into_iter().flatten() {
            self.tell(delivery, origin, &decision);
        }
        self.count_calls(vm);
    }
}
