//! Drives one request from its head to the end of its response.
//!
//! [`Exchange`] makes the decisions, and this module performs them. A driver runs in its own task,
//! because a request with a key continues after its caller has disconnected.

use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::Instant;

use carobshore_lib::connection_pool::Freshness;
use carobshore_lib::exchange::CallSpec;
use carobshore_lib::exchange::Exchange;
use carobshore_lib::exchange::ExchangeAction;
use carobshore_lib::exchange::ExchangeEvent;
use carobshore_lib::key_table::StoredOutcome;
use carobshore_lib::key_table::StoredResponse;
use carobshore_lib::pool_event::AttemptId;
use carobshore_lib::pool_event::AttemptResult;
use carobshore_lib::pool_event::PoolEvent;
use carobshore_lib::prelude::Outcome;
use carobshore_lib::prelude::ResultCode;
use carobshore_lib::prelude::VmId;
use carobshore_lib::router::Call;
use carobshore_lib::router::RoutingDecision;
use carobshore_lib::send_permit::RefusedBy;
use carobshore_lib::ticket::CallerId;
use carobshore_lib::ticket::Ticket;
use carobshore_lib::ticket::TicketId;
use ntex::http::Payload;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::attempt;
use crate::attempt::Attempt;
use crate::attempt::Destination;
use crate::attempt::TaskOutput;
use crate::call_head;
use crate::call_head::CallHead;
use crate::call_head::MAX_HOPS;
use crate::call_head::Port;
use crate::connection::SendFailure;
use crate::connection_table::AddressConnections;
use crate::connection_table::ConnectionGuard;
use crate::data_plane::DataPlane;
use crate::pool_runner::PoolDecision;
use crate::pool_runner::Slot;
use crate::pool_runner::SlotId;
use crate::refusal::Refusal;
use crate::request_body::BodyFault;
use crate::request_body::BodyLimits;
use crate::request_body::RequestBody;
use crate::responder::Responder;
use crate::service_state::PoolKind;
use crate::service_state::ServiceState;
use crate::target_report;
use crate::upstream_response::UpstreamResponse;

/// One request in flight.
pub(crate) struct Driver {
    pub(crate) plane: Rc<DataPlane>,
    pub(crate) service: Rc<ServiceState>,
    pub(crate) head: CallHead,
    pub(crate) started: Instant,
    pub(crate) key_accepted: bool,
    /// Whether the owner of the key has said that no request with it has run.
    pub(crate) key_unused: bool,
    body: RequestBody,
    exchange: Exchange,
    actions: VecDeque<ExchangeAction>,
    decision_sender: mpsc::UnboundedSender<PoolDecision>,
    first_route: Option<RoutingDecision>,
    ticket: Option<(PoolKind, TicketId)>,
    attempts: Vec<Attempt>,
    tasks: JoinSet<TaskOutput>,
    next_attempt: u64,
    retried: bool,
    /// Whether the last attempt ended because a VM could not be reached. No target got the request,
    /// so the next attempt is not charged to the retry budget: when a home crashes, all its
    /// requests have to go elsewhere at the same moment.
    vm_unreachable: bool,
    spilled: bool,
    timed_out: bool,
    refusal: Option<Refusal>,
    relaying: Option<AttemptId>,
    done: Option<(Outcome, ResultCode)>,
}

impl Driver {
    /// Starts the task of a request whose head was accepted.
    pub(crate) fn start(
        plane: Rc<DataPlane>,
        service: Rc<ServiceState>,
        head: CallHead,
        payload: Payload,
        responder: Responder,
    ) {
        let limits = BodyLimits {
            bytes: plane.settings.limits.body.0,
            pause: plane.settings.timeouts.body,
        };
        let spec = CallSpec {
            repeatable: head.repeatable,
            key: head.key,
            deadline: head.deadline,
            attempts: head.attempts,
        };
        let (decision_sender, decisions) = mpsc::unbounded_channel();
        let driver = Self {
            plane,
            service,
            body: RequestBody::new(payload, head.size, limits),
            spilled: head.hops >= MAX_HOPS,
            head,
            started: Instant::now(),
            key_accepted: false,
            key_unused: false,
            exchange: Exchange::new(spec),
            actions: VecDeque::new(),
            decision_sender,
            first_route: None,
            ticket: None,
            attempts: Vec::new(),
            tasks: JoinSet::new(),
            next_attempt: 0,
            retried: false,
            vm_unreachable: false,
            timed_out: false,
            refusal: None,
            relaying: None,
            done: None,
        };
        ntex::rt::spawn(driver.run(responder, decisions));
    }

    async fn run(
        mut self,
        responder: Responder,
        mut decisions: mpsc::UnboundedReceiver<PoolDecision>,
    ) {
        let Some(mut responder) = self.admit_key(responder).await else {
            return;
        };
        self.dispatch();
        self.run_actions();
        self.wait(&mut responder, &mut decisions).await;
        match self.take_response() {
            Some((guard, response)) => self.relay(responder, guard, response).await,
            None => self.refuse(responder),
        }
    }

    /// Handles events until a response arrives or the request has failed.
    async fn wait(
        &mut self,
        responder: &mut Responder,
        decisions: &mut mpsc::UnboundedReceiver<PoolDecision>,
    ) {
        let plane = Rc::clone(&self.plane);
        let deadline = self.head.deadline;
        let mut caller_gone = false;
        while self.relaying.is_none() && self.done.is_none() {
            tokio::select! {
                biased;
                Some(decision) = decisions.recv() => self.on_decision(decision),
                Some(output) = self.tasks.join_next() => if let Ok(output) = output {
                    self.on_task_output(output);
                },
                () = responder.caller_gone(), if !caller_gone => {
                    caller_gone = true;
                    self.handle(ExchangeEvent::CallerGone);
                }
                () = plane.deadline_passed(deadline), if !self.timed_out => {
                    self.timed_out = true;
                    self.handle(ExchangeEvent::TimedOut);
                }
            }
            self.run_actions();
        }
    }

    /// Passes an event to the exchange, and queues the actions that it returns.
    pub(crate) fn handle(&mut self, event: ExchangeEvent) {
        let now = Instant::now();
        let mut actions = Vec::new();
        if self.body.is_ended() {
            let ended = ExchangeEvent::BodySent;
            self.exchange.handle(now, ended, &mut actions);
        }
        if self.body.is_lost() {
            let lost = ExchangeEvent::BodyNotKept;
            self.exchange.handle(now, lost, &mut actions);
        }
        self.exchange.handle(now, event, &mut actions);
        self.actions.extend(actions);
    }

    /// Performs the queued actions.
    pub(crate) fn run_actions(&mut self) {
        while let Some(action) = self.actions.pop_front() {
            match action {
                ExchangeAction::Retry => {
                    self.retried |= !std::mem::take(&mut self.vm_unreachable);
                    self.dispatch();
                }
                ExchangeAction::Relay { attempt } => self.relaying = Some(attempt),
                ExchangeAction::Fail { outcome, code } => {
                    self.refusal = Some(Refusal::of_outcome(outcome, code));
                }
                ExchangeAction::Cancel { attempt } => self.cancel(attempt),
                // Dropping the sender of the body aborts the caller's connection.
                ExchangeAction::Abort => {}
                ExchangeAction::Done { outcome, code } => self.done = Some((outcome, code)),
            }
        }
    }

    /// Returns how the request ended, if it has.
    pub(crate) fn done(&self) -> Option<(Outcome, ResultCode)> {
        self.done
    }

    /// Starts the next attempt where the router sends the request.
    fn dispatch(&mut self) {
        self.leave_pool();
        // A request whose key this VM has accepted stays here, even if the homes have changed.
        let route = match self.key_accepted {
            true => RoutingDecision::Local,
            false => self.first_route.take().unwrap_or_else(|| self.route()),
        };
        match route {
            // The key moved to this VM between two attempts, and is not in the table.
            RoutingDecision::Local if self.head.key.is_some() && !self.key_accepted => {
                let code = ResultCode::OwnershipMoving;
                self.handle(ExchangeEvent::Rejected { code });
            }
            RoutingDecision::Local => self.submit(self.service.local_pool()),
            RoutingDecision::Fallback => self.submit(PoolKind::Shared),
            RoutingDecision::Forward { vm } => self.start_vm(vm, false),
            RoutingDecision::Refuse { code } => self.handle(ExchangeEvent::Rejected { code }),
        }
    }

    /// Returns where the first attempt goes.
    pub(crate) fn first_route(&mut self) -> &RoutingDecision {
        let route = self.first_route.take().unwrap_or_else(|| self.route());
        self.first_route.insert(route)
    }

    fn route(&self) -> RoutingDecision {
        self.service.route(&Call {
            key: self.head.key,
            forwarded: self.head.port == Port::Peers,
        })
    }

    fn submit(&mut self, kind: PoolKind) {
        let ticket = Ticket {
            id: self.plane.next_ticket_id(),
            caller: CallerId::of(&self.head.caller),
            deadline: self.head.deadline,
            repeatable: self.head.repeatable,
            spilled: self.spilled,
            retry: self.retried,
        };
        self.ticket = Some((kind, ticket.id));
        let pool = Rc::clone(self.service.pool(kind));
        pool.submit(ticket, self.decision_sender.clone());
    }

    fn leave_pool(&mut self) {
        if let Some((kind, ticket)) = self.ticket.take() {
            self.service.pool(kind).leave(ticket);
        }
    }

    fn on_decision(&mut self, decision: PoolDecision) {
        match decision {
            PoolDecision::Start(slot) => self.start_target(slot),
            PoolDecision::Hedge(slot) => self.start_hedge(slot),
            PoolDecision::Reject(code) => self.handle(ExchangeEvent::Rejected { code }),
            PoolDecision::Spill(vm) => {
                self.leave_pool();
                self.spilled = true;
                self.start_vm(vm, true);
            }
            PoolDecision::Cancel(slot) => self.cancel_slot(slot),
        }
    }

    fn start_hedge(&mut self, slot: Slot) {
        // The body is sent a second time, so all of it has to be kept: the first copy may still be
        // reading it. A slot that is not used is freed when it is dropped.
        if self.exchange.may_hedge(Instant::now()) && self.body.is_kept() {
            self.plane.metrics.record_hedge(&self.service.id);
            self.start_target(slot);
        }
    }

    fn start_target(&mut self, slot: Slot) {
        let connections = self
            .plane
            .target_connections(&self.service, slot.target(), slot.kind());
        self.start_attempt(Destination::Target(slot), connections);
    }

    fn start_vm(&mut self, vm: VmId, spill: bool) {
        let connections = self.plane.vm_connections(&vm);
        self.start_attempt(Destination::Vm { vm, spill }, connections);
    }

    fn start_attempt(
        &mut self,
        destination: Destination,
        connections: Option<Rc<AddressConnections>>,
    ) {
        let id = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        let mut attempt = Attempt::new(id, destination);
        attempt.connections = connections;
        self.attempts.push(attempt);
        self.handle(ExchangeEvent::Started { attempt: id });
        if !self.take_cancel(id) {
            self.open(id);
        }
    }

    /// Removes a queued `Cancel` of the attempt, ends the attempt, and returns whether there was
    /// one.
    fn take_cancel(&mut self, id: AttemptId) -> bool {
        let cancel = ExchangeAction::Cancel { attempt: id };
        let found = self.actions.contains(&cancel);
        self.actions.retain(|action| *action != cancel);
        if found {
            self.end(id, AttemptResult::Cancelled);
        }
        found
    }

    fn open(&mut self, id: AttemptId) {
        let freshness = self.freshness();
        let Some(attempt) = self.attempts.iter_mut().find(|attempt| attempt.id == id) else {
            return;
        };
        let connections = attempt.connections.clone();
        attempt.task = Some(self.tasks.spawn_local(async move {
            let guard = match connections {
                Some(connections) => connections.checkout(freshness).await,
                None => Err(io::ErrorKind::AddrNotAvailable.into()),
            };
            TaskOutput::Opened(id, guard)
        }));
    }

    fn freshness(&self) -> Freshness {
        match self.head.repeatable {
            true => Freshness::Any,
            false => Freshness::Fresh,
        }
    }

    fn on_task_output(&mut self, output: TaskOutput) {
        match output {
            TaskOutput::Opened(id, Ok(guard)) => self.on_opened(id, guard),
            TaskOutput::Opened(id, Err(_)) => self.on_connect_failed(id),
            TaskOutput::Responded(id, guard, Ok(response)) => self.on_response(id, guard, response),
            TaskOutput::Responded(id, guard, Err(failure)) => {
                drop(guard);
                self.on_failure(id, &failure);
            }
        }
    }

    fn on_connect_failed(&mut self, id: AttemptId) {
        if let Some(vm) = self.vm_of(id) {
            self.plane.vm_unreachable(&self.service, &vm);
            self.vm_unreachable = true;
        }
        self.end(id, AttemptResult::ConnectFailed);
        self.handle(ExchangeEvent::ConnectFailed { attempt: id });
    }

    fn on_opened(&mut self, id: AttemptId, guard: ConnectionGuard) {
        if !self.attempts.iter().any(|attempt| attempt.id == id) {
            return guard.release_unused();
        }
        if !guard.may_send(self.freshness()) {
            guard.release_unused();
            return self.open(id);
        }
        if self.key_accepted && !self.service.may_send_key() {
            guard.release_unused();
            self.end(id, AttemptResult::Cancelled);
            let code = ResultCode::LeaseLapsed;
            return self.handle(ExchangeEvent::Withdrawn { attempt: id, code });
        }
        self.handle(ExchangeEvent::Sent { attempt: id });
        if self.take_cancel(id) {
            return guard.release_unused();
        }
        self.send(id, guard);
    }

    fn send(&mut self, id: AttemptId, guard: ConnectionGuard) {
        let Some(attempt) = self.attempts.iter_mut().find(|attempt| attempt.id == id) else {
            return;
        };
        let Some(connection) = guard.connection().cloned() else {
            return;
        };
        attempt.record_sent(&guard, &connection);
        let body = self.body.attempt(Rc::clone(&connection));
        let request = attempt::build_request(&self.plane, &self.head, &attempt.destination, body);
        attempt.task = Some(self.tasks.spawn_local(async move {
            let response = connection.send(request).await;
            TaskOutput::Responded(id, guard, response)
        }));
    }

    pub(crate) fn on_failure(&mut self, id: AttemptId, failure: &SendFailure) {
        match failure {
            SendFailure::BodyFailed => {
                self.end(id, AttemptResult::Cancelled);
                self.handle(ExchangeEvent::CallerGone);
            }
            SendFailure::NotSent => {
                self.end(id, AttemptResult::Cancelled);
                self.handle(ExchangeEvent::Broken { attempt: id });
            }
            SendFailure::Broken(_) | SendFailure::Malformed(_) => {
                self.end(id, AttemptResult::Broken);
                self.handle(ExchangeEvent::Broken { attempt: id });
            }
        }
    }

    fn on_response(&mut self, id: AttemptId, guard: ConnectionGuard, response: UpstreamResponse) {
        let Some(attempt) = self.attempts.iter().find(|attempt| attempt.id == id) else {
            return;
        };
        match &attempt.destination {
            Destination::Target(slot) => {
                let fields = &response.headers;
                let (target, kind) = (slot.target(), slot.kind());
                let refused =
                    target_report::apply(&self.plane, &self.service, target, kind, fields);
                match refused {
                    Some(by) => {
                        // A faulty target may send a refusal again, and nothing would tell it from
                        // that of the next request. So the connection is closed.
                        drop((response, guard));
                        self.on_refused(id, by);
                    }
                    None => self.on_head(id, guard, response),
                }
            }
            Destination::Vm { vm, .. } => {
                let vm = vm.clone();
                self.on_vm_response(id, &vm, guard, response);
            }
        }
    }

    pub(crate) fn on_refused(&mut self, id: AttemptId, by: RefusedBy) {
        self.end(id, target_report::result_of(by));
        self.handle(ExchangeEvent::Refused { attempt: id, by });
    }

    pub(crate) fn on_head(
        &mut self,
        id: AttemptId,
        guard: ConnectionGuard,
        response: UpstreamResponse,
    ) {
        let status = response.status.as_u16();
        let mut first_byte = None;
        if let Some(attempt) = self.attempts.iter_mut().find(|attempt| attempt.id == id) {
            attempt.response = Some((guard, response));
            if let Destination::Target(slot) = &attempt.destination {
                first_byte = Some(slot.id());
            }
        }
        let attempt = id;
        self.handle(ExchangeEvent::Head { attempt, status });
        // The exchange has chosen this response, so the pool can cancel the other copy.
        if let Some((kind, attempt)) = first_byte {
            let pool = self.service.pool(kind);
            pool.handle(PoolEvent::FirstByte { attempt });
        }
    }

    fn vm_of(&self, id: AttemptId) -> Option<VmId> {
        let attempt = self.attempts.iter().find(|attempt| attempt.id == id)?;
        match &attempt.destination {
            Destination::Vm { vm, .. } => Some(vm.clone()),
            Destination::Target(_) => None,
        }
    }

    /// Ends an attempt.
    pub(crate) fn end(&mut self, id: AttemptId, result: AttemptResult) {
        let Some(index) = self.attempts.iter().position(|attempt| attempt.id == id) else {
            return;
        };
        let mut attempt = self.attempts.swap_remove(index);
        attempt.end(&self.plane, &self.service.id, result);
    }

    fn cancel(&mut self, id: AttemptId) {
        let Some(index) = self.attempts.iter().position(|attempt| attempt.id == id) else {
            return;
        };
        let mut attempt = self.attempts.swap_remove(index);
        match self.timed_out {
            true => attempt.time_out(&self.plane, &self.service.id),
            false => attempt.end(&self.plane, &self.service.id, AttemptResult::Cancelled),
        }
    }

    /// Cancels the attempt in a slot, as the pool requests.
    fn cancel_slot(&mut self, slot_id: SlotId) {
        let named = |attempt: &&Attempt| match &attempt.destination {
            Destination::Target(slot) => slot.id() == slot_id,
            Destination::Vm { .. } => false,
        };
        let Some(id) = self.attempts.iter().find(named).map(|attempt| attempt.id) else {
            return;
        };
        self.end(id, AttemptResult::Cancelled);
        self.handle(ExchangeEvent::Broken { attempt: id });
    }

    fn take_response(&mut self) -> Option<(ConnectionGuard, UpstreamResponse)> {
        let id = self.relaying?;
        let attempt = self.attempts.iter_mut().find(|attempt| attempt.id == id)?;
        attempt.response.take()
    }

    /// Returns the attempt whose response is sent to the caller.
    pub(crate) fn relaying(&self) -> Option<AttemptId> {
        self.relaying
    }

    fn refuse(mut self, responder: Responder) {
        let (outcome, code) = self
            .done
            .unwrap_or((Outcome::MayHaveRun, ResultCode::Internal));
        let unused = self.key_accepted || self.key_unused;
        let doubtful = self.head.is_keyed_by_caller() && !unused;
        let refusal = match self.body.fault() {
            Some(fault) => self.fault_refusal(fault, outcome),
            None => self
                .refusal
                .take()
                .unwrap_or_else(|| Refusal::of_outcome(outcome, code)),
        };
        let refusal = refusal.limit_claim(!doubtful);
        self.done = Some((refusal.outcome, code));
        self.finish(stored_outcome(outcome, code));
        let mut response = refusal.response();
        if self.head.port == Port::Peers {
            crate::data_plane::add_load(&mut response, &self.service);
            let unused = unused && refusal.outcome == Outcome::NotRun;
            crate::headers::set_key_unused(response.headers_mut(), unused);
        }
        let _ = responder.reply.send(response);
    }

    fn fault_refusal(&self, fault: BodyFault, outcome: Outcome) -> Refusal {
        let error = match fault {
            BodyFault::TooLarge => call_head::body_too_large(&self.plane.settings),
            BodyFault::Broken | BodyFault::Slow => carobshore_lib::prelude::Error::new(
                ResultCode::BadRequest,
                fault.to_string(),
                "send the whole body without long pauses",
            ),
        };
        Refusal {
            outcome,
            close: true,
            ..Refusal::of_request(error)
        }
    }

    /// Records the end of the request.
    pub(crate) fn finish(&mut self, outcome: StoredOutcome) {
        self.leave_pool();
        self.attempts.clear();
        let (result, code) = self
            .done
            .unwrap_or((Outcome::MayHaveRun, ResultCode::Internal));
        let time = self.started.elapsed();
        let metrics = &self.plane.metrics;
        metrics.record_request(self.head.port, &self.service.id, result, code, time);
        if let Some(key) = self.head.key.filter(|_| self.key_accepted) {
            self.service.finish_key(key, outcome);
        }
    }
}

fn stored_outcome(outcome: Outcome, code: ResultCode) -> StoredOutcome {
    match outcome {
        Outcome::Whole => StoredOutcome::Whole(None::<StoredResponse>),
        Outcome::NotRun => StoredOutcome::NotRun(code),
        Outcome::MayHaveRun => StoredOutcome::MayHaveRun(code),
    }
}
