//! Runs a slot pool and passes its decisions to the requests.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::rc::Weak;
use std::time::Duration;
use std::time::Instant;

use carobshore_lib::pool_action::PoolAction;
use carobshore_lib::pool_counters::PoolCounters;
use carobshore_lib::pool_event::AttemptId;
use carobshore_lib::pool_event::AttemptResult;
use carobshore_lib::pool_event::PoolEvent;
use carobshore_lib::pool_targets::PoolTargets;
use carobshore_lib::prelude::ResultCode;
use carobshore_lib::prelude::TargetId;
use carobshore_lib::prelude::VmId;
use carobshore_lib::slot_pool::SlotPool;
use carobshore_lib::ticket::Ticket;
use carobshore_lib::ticket::TicketId;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::service_state::PoolKind;

/// The id of a slot in use: its pool, and the attempt within the pool.
pub(crate) type SlotId = (PoolKind, AttemptId);

/// A slot that the pool has granted to a request. Dropping it frees the slot, even if the request
/// ended before it received the slot.
#[derive(Debug)]
pub(crate) struct Slot {
    runner: Rc<PoolRunner>,
    attempt: AttemptId,
    target: TargetId,
    finished: bool,
}

impl Slot {
    /// Returns the target that the slot belongs to.
    pub(crate) fn target(&self) -> &TargetId {
        &self.target
    }

    /// Returns the pool that the slot belongs to.
    pub(crate) fn kind(&self) -> PoolKind {
        self.runner.kind
    }

    /// Returns the id of the slot.
    pub(crate) fn id(&self) -> SlotId {
        (self.runner.kind, self.attempt)
    }

    /// Reports how the attempt in the slot ended.
    pub(crate) fn finish(&mut self, result: AttemptResult) {
        if !std::mem::replace(&mut self.finished, true) {
            self.runner.finished(self.attempt, result);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.finish(AttemptResult::Cancelled);
    }
}

/// What the pool decided about a request.
#[derive(Debug)]
pub(crate) enum PoolDecision {
    /// Send it to the target.
    Start(Slot),
    /// Send a second copy to the target.
    Hedge(Slot),
    /// Refuse it as "not run".
    Reject(ResultCode),
    /// Pass it on to another home.
    Spill(VmId),
    /// Close the connection of the attempt.
    Cancel(SlotId),
}

/// Sends decisions to a request.
pub(crate) type DecisionSender = mpsc::UnboundedSender<PoolDecision>;

/// A probe that the pool asks for.
#[derive(Debug)]
pub(crate) struct ProbeRequest {
    /// The attempt, for [`PoolRunner::finished`].
    pub(crate) attempt: AttemptId,
    /// The target to probe.
    pub(crate) target: TargetId,
    /// Resolves when the probe has to be cancelled.
    pub(crate) cancel: oneshot::Receiver<()>,
}

#[derive(Debug)]
struct Waiting {
    sender: DecisionSender,
    queued: bool,
}

/// A slot pool with its timer and its requests.
pub(crate) struct PoolRunner {
    kind: PoolKind,
    weak_self: Weak<Self>,
    pool: RefCell<SlotPool>,
    requests: RefCell<HashMap<TicketId, Waiting>>,
    attempts: RefCell<HashMap<AttemptId, TicketId>>,
    probe_cancels: RefCell<HashMap<AttemptId, oneshot::Sender<()>>>,
    probes: mpsc::UnboundedSender<ProbeRequest>,
    due: Cell<Option<Instant>>,
    timer: Rc<Notify>,
}

impl PoolRunner {
    /// Starts the timer of a pool. The returned receiver yields the probes that the pool asks for.
    pub(crate) fn new(
        kind: PoolKind,
        pool: SlotPool,
    ) -> (Rc<Self>, mpsc::UnboundedReceiver<ProbeRequest>) {
        let (probes, probe_requests) = mpsc::unbounded_channel();
        let timer = Rc::new(Notify::new());
        let runner = Rc::new_cyclic(|weak_self| Self {
            kind,
            weak_self: Weak::clone(weak_self),
            pool: RefCell::new(pool),
            requests: RefCell::default(),
            attempts: RefCell::default(),
            probe_cancels: RefCell::default(),
            probes,
            due: Cell::new(None),
            timer: Rc::clone(&timer),
        });
        ntex::rt::spawn(run_timer(Rc::downgrade(&runner), timer));
        (runner, probe_requests)
    }

    /// Asks for a slot. Decisions are sent through `sender` until [`Self::leave`].
    pub(crate) fn submit(&self, ticket: Ticket, sender: DecisionSender) {
        let waiting = Waiting {
            sender,
            queued: true,
        };
        self.requests.borrow_mut().insert(ticket.id, waiting);
        self.handle(PoolEvent::Submit(ticket));
    }

    /// Stops sending decisions to a request, and takes it out of the queue if it still waits.
    pub(crate) fn leave(&self, ticket: TicketId) {
        let waiting = self.requests.borrow_mut().remove(&ticket);
        if waiting.is_some_and(|waiting| waiting.queued) {
            self.handle(PoolEvent::Cancel(ticket));
        }
    }

    /// Reports the end of an attempt or of a probe.
    pub(crate) fn finished(&self, attempt: AttemptId, result: AttemptResult) {
        self.attempts.borrow_mut().remove(&attempt);
        self.probe_cancels.borrow_mut().remove(&attempt);
        self.handle(PoolEvent::Finished { attempt, result });
    }

    /// Passes an event to the pool and performs the actions that it returns.
    pub(crate) fn handle(&self, event: PoolEvent) {
        self.apply(|pool, now, actions| pool.handle(now, event, actions));
    }

    /// Replaces the targets of the pool.
    pub(crate) fn set_targets(&self, targets: &PoolTargets) {
        self.apply(|pool, now, actions| pool.set_targets(now, targets, actions));
    }

    /// Returns the free slots and the queue length.
    pub(crate) fn load(&self) -> (u32, u32) {
        self.pool.borrow().load()
    }

    /// Returns this VM's share of the measuring budget, as target time per second, and the
    /// counters.
    pub(crate) fn measuring(&self) -> (Duration, PoolCounters) {
        let pool = self.pool.borrow();
        (pool.measuring_share(), pool.counters().clone())
    }

    /// Returns the state for the dump.
    pub(crate) fn dump(&self) -> serde_json::Value {
        self.pool.borrow().dump(Instant::now())
    }

    fn apply(&self, step: impl FnOnce(&mut SlotPool, Instant, &mut Vec<PoolAction>)) {
        let mut actions = Vec::new();
        let due = {
            let mut pool = self.pool.borrow_mut();
            step(&mut pool, Instant::now(), &mut actions);
            pool.wakeup()
        };
        if due != self.due.replace(due) {
            self.timer.notify_one();
        }
        for action in actions {
            self.run_action(action);
        }
    }

    fn run_action(&self, action: PoolAction) {
        match action {
            PoolAction::Start {
                ticket,
                attempt,
                target,
            } => self.start(ticket, attempt, target, PoolDecision::Start),
            PoolAction::Hedge {
                ticket,
                attempt,
                target,
            } => self.start(ticket, attempt, target, PoolDecision::Hedge),
            PoolAction::Reject { ticket, code } => {
                self.send_decision(ticket, PoolDecision::Reject(code));
            }
            PoolAction::Spill { ticket, vm } => self.send_decision(ticket, PoolDecision::Spill(vm)),
            PoolAction::Probe { attempt, target } => {
                let (sender, cancel) = oneshot::channel();
                self.probe_cancels.borrow_mut().insert(attempt, sender);
                let request = ProbeRequest {
                    attempt,
                    target,
                    cancel,
                };
                if self.probes.send(request).is_err() {
                    self.finished(attempt, AttemptResult::Cancelled);
                }
            }
            PoolAction::Cancel { attempt } => {
                let ticket = self.attempts.borrow().get(&attempt).copied();
                let cancel = self.probe_cancels.borrow_mut().remove(&attempt);
                if let Some(cancel) = cancel {
                    // Sending fails if the probe has just ended.
                    let _ = cancel.send(());
                } else if let Some(ticket) = ticket {
                    self.send_decision(ticket, PoolDecision::Cancel((self.kind, attempt)));
                }
            }
        }
    }

    fn start(
        &self,
        ticket: TicketId,
        attempt: AttemptId,
        target: TargetId,
        decision: impl FnOnce(Slot) -> PoolDecision,
    ) {
        let Some(runner) = self.weak_self.upgrade() else {
            return;
        };
        self.attempts.borrow_mut().insert(attempt, ticket);
        let slot = Slot {
            runner,
            attempt,
            target,
            finished: false,
        };
        self.send_decision(ticket, decision(slot));
    }

    /// Sends a decision to a request, if the request has not left the pool.
    fn send_decision(&self, ticket: TicketId, decision: PoolDecision) {
        let sender = self.requests.borrow_mut().get_mut(&ticket).map(|waiting| {
            waiting.queued = false;
            waiting.sender.clone()
        });
        // If the request has ended, the slot is dropped here. This borrows the pool's state again,
        // so the borrow above must have ended.
        if let Some(sender) = sender {
            let _ = sender.send(decision);
        }
    }
}

impl fmt::Debug for PoolRunner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PoolSeat").finish_non_exhaustive()
    }
}

impl Drop for PoolRunner {
    fn drop(&mut self) {
        self.timer.notify_one();
    }
}

/// Passes a tick to the pool whenever it is due.
async fn run_timer(runner: Weak<PoolRunner>, timer: Rc<Notify>) {
    loop {
        let Some(due) = runner.upgrade().map(|runner| runner.due.get()) else {
            return;
        };
        let Some(due) = due else {
            timer.notified().await;
            continue;
        };
        tokio::select! {
            () = tokio::time::sleep_until(due.into()) => {
                if let Some(runner) = runner.upgrade() {
                    runner.handle(PoolEvent::Tick);
                }
            }
            () = timer.notified() => {}
        }
    }
}
